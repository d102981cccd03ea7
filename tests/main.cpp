#include <CppUTest/CommandLineTestRunner.h>

int main(int aArgc, char** aArgv)
{
  return CommandLineTestRunner::RunAllTests(aArgc, aArgv);
}
