#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int aArgc, char** aArgv)
{
  // Objects that live until the process exits, and memory freed by other threads, are reported as
  // leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aArgc, aArgv);
}
