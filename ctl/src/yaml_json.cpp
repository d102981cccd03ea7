#include "yaml_json.h"

#include <yaml-cpp/yaml.h>

#include <fmt/format.h>

#include <regex>
#include <stdexcept>

namespace endiveusher::ctl::internal {

namespace {

constexpr int kMaxDepth = 16;

void appendString(std::string& aJson, const std::string& aText)
{
  aJson += '"';
  for (const char character : aText) {
    if (character == '"' || character == '\\') {
      aJson += '\\';
      aJson += character;
    } else if (static_cast<unsigned char>(character) < 0x20) {
      aJson += fmt::format("\\u{:04x}", static_cast<unsigned>(character));
    } else {
      aJson += character;
    }
  }
  aJson += '"';
}

void appendNode(std::string& aJson, const YAML::Node& aNode, int aDepth)
{
  if (aDepth > kMaxDepth) {
    throw std::runtime_error(fmt::format("nested more than {} levels deep", kMaxDepth));
  }
  if (aNode.IsMap()) {
    aJson += '{';
    for (const auto& entry : aNode) {
      aJson += aJson.back() == '{' ? "" : ",";
      appendString(aJson, entry.first.Scalar());
      aJson += ':';
      appendNode(aJson, entry.second, aDepth + 1);
    }
    aJson += '}';
  } else if (aNode.IsSequence()) {
    aJson += '[';
    for (const auto& element : aNode) {
      aJson += aJson.back() == '[' ? "" : ",";
      appendNode(aJson, element, aDepth + 1);
    }
    aJson += ']';
  } else if (aNode.IsScalar()) {
    static const std::regex kPlain("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][-+]?[0-9]+)?|true|false");
    const bool quoted = aNode.Tag() == "!";
    if (!quoted && std::regex_match(aNode.Scalar(), kPlain)) {
      aJson += aNode.Scalar();
    } else {
      appendString(aJson, aNode.Scalar());
    }
  } else {
    aJson += "null";
  }
}

} // namespace

std::string yamlToJson(const std::string& aYaml)
{
  std::string json;
  try {
    appendNode(json, YAML::Load(aYaml), 0);
  } catch (const YAML::Exception& exception) {
    throw std::runtime_error(exception.what());
  }
  return json;
}

} // namespace endiveusher::ctl::internal
