#include "json_value.h"

#include "archive.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace endiveusher::protocol::internal {

namespace {

/// Maximum nesting depth, in levels. The deepest message of the schema has 7.
constexpr std::size_t kMaxDepth = 16;

/// Builds a json_value from SAX events. The parser's own tree keeps only the last of several fields
/// with the same name, and is slower.
class tree_builder
{
public:
  explicit tree_builder(json_value& aRoot) : mRoot(aRoot) {}

  // NOLINTBEGIN(readability-identifier-naming): names required by the parser.
  bool null() { return add(nullptr); }
  bool boolean(bool aValue) { return add(aValue); }
  bool number_integer(std::int64_t aValue) { return add(aValue); }
  bool number_unsigned(std::uint64_t aValue) { return add(aValue); }
  bool number_float(double aValue, const std::string& /*aText*/) { return add(aValue); }
  bool string(std::string& aValue) { return add(std::move(aValue)); }
  bool binary(nlohmann::json::binary_t& /*aValue*/) { return false; }
  bool start_object(std::size_t /*aCount*/) { return open(json_value::object{}); }
  bool end_object() { return close(); }
  bool start_array(std::size_t /*aCount*/) { return open(json_value::array{}); }
  bool end_array() { return close(); }
  bool key(std::string& aName)
  {
    std::get<json_value::object>(mOpenValues.back()->mValue).mNames.push_back(std::move(aName));
    return true;
  }
  bool parse_error(std::size_t aPosition, const std::string& /*aToken*/,
                   const nlohmann::json::exception& /*aError*/)
  {
    mError = "no valid JSON at byte " + std::to_string(aPosition);
    return false;
  }
  // NOLINTEND(readability-identifier-naming)

  const std::string& error() const { return mError; }

private:
  template<typename Value>
  bool add(Value&& aValue)
  {
    nextValue().mValue = std::forward<Value>(aValue);
    return true;
  }
  template<typename Value>
  bool open(Value aValue)
  {
    if (mOpenValues.size() >= kMaxDepth) {
      mError = "nested too deeply";
      return false;
    }
    // Only the innermost open value grows, so pointers to the enclosing ones stay valid.
    json_value& opened = nextValue();
    opened.mValue = std::move(aValue);
    mOpenValues.push_back(&opened);
    return true;
  }
  bool close()
  {
    mOpenValues.pop_back();
    return true;
  }
  /// Returns the value that the next event sets.
  json_value& nextValue()
  {
    if (mOpenValues.empty()) {
      return mRoot;
    }
    if (auto* fields = std::get_if<json_value::object>(&mOpenValues.back()->mValue)) {
      return fields->mValues.emplace_back();
    }
    return std::get<json_value::array>(mOpenValues.back()->mValue).emplace_back();
  }

  json_value& mRoot;
  std::vector<json_value*> mOpenValues;
  std::string mError;
};

} // namespace

json_value parseJson(std::string_view aText)
{
  json_value root;
  tree_builder builder(root);
  if (!nlohmann::json::sax_parse(aText.begin(), aText.end(), &builder)) {
    throw invalid_message(builder.error());
  }
  return root;
}

void appendQuoted(std::string& aOut, std::string_view aText)
{
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  aOut += '"';
  std::size_t plainFrom = 0;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const auto byte = static_cast<unsigned char>(aText[i]);
    if (byte >= 0x20 && byte != '"' && byte != '\\') {
      continue;
    }
    aOut.append(aText, plainFrom, i - plainFrom);
    plainFrom = i + 1;
    aOut += '\\';
    switch (byte) {
      case '"':
      case '\\':
        aOut += static_cast<char>(byte);
        break;
      case '\n':
        aOut += 'n';
        break;
      case '\t':
        aOut += 't';
        break;
      default:
        aOut += "u00";
        aOut += kHexDigits[byte >> 4U];
        aOut += kHexDigits[byte & 0xFU];
    }
  }
  aOut.append(aText, plainFrom);
  aOut += '"';
}

} // namespace endiveusher::protocol::internal
