#ifndef CHIVERAIL_JSON_FIELDS_H_
#define CHIVERAIL_JSON_FIELDS_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "manifest.h"
#include "types.h"

namespace chiverail {

// Parses a JSON text. Throws InvalidDocument for malformed text and for duplicate keys in an
// object, of which the plain parser would silently use the last one.
nlohmann::json ParseJsonText(std::string_view text);

// Returns the word of `known` with the smallest edit distance to `word`, or an empty string if none
// is close enough for `word` to be a likely misspelling of it.
std::string NearestWord(std::string_view word, const std::vector<std::string>& known);

// Returns true for "ip:port" with a numeric IPv4 address. Port 0 is valid only if
// `allow_port_zero` is set.
bool IsSocketAddress(std::string_view text, bool allow_port_zero = false);

// Returns true for 1 to 128 characters of A-Z a-z 0-9 . _ - only. Ids are used in table keys and
// URLs, where a slash or a space would refer to a different row.
bool IsIdentifier(std::string_view text);

enum class Presence : std::uint8_t { kRequired, kOptional };

// Reads the members of a JSON object and reports all faults instead of stopping at the first. The
// target of an invalid or absent member is left unchanged. Call Finish last; it reports unknown
// keys.
class JsonFields {
 public:
  // Reads `value`, which is located at the JSON pointer `pointer` in the document. Faults are
  // appended to `faults`, which must outlive this object.
  JsonFields(const nlohmann::json& value, std::string pointer, std::vector<JsonFault>& faults);

  // Reads an arbitrary string.
  void Text(const std::string& key, Presence presence, std::string& target);

  // Reads a string that satisfies IsIdentifier.
  void Identifier(const std::string& key, Presence presence, std::string& target);

  // Reads "ip:port".
  void Address(const std::string& key,
               Presence presence,
               std::string& target,
               bool allow_port_zero = false);

  // Reads a whole number within [min, max].
  void Integer(const std::string& key,
               Presence presence,
               std::int64_t min,
               std::int64_t max,
               std::int64_t& target);
  void Integer(const std::string& key, Presence presence, int min, int max, int& target);

  // Reads a whole number of milliseconds within [min, max].
  void Milliseconds(const std::string& key,
                    Presence presence,
                    std::int64_t min,
                    std::int64_t max,
                    Duration& target);

  // Reads a number within [min, max].
  void Number(const std::string& key, Presence presence, double min, double max, double& target);

  // Reads true or false.
  void Flag(const std::string& key, Presence presence, bool& target);

  // Reads a list of identifiers without duplicates.
  void Identifiers(const std::string& key, Presence presence, std::vector<std::string>& target);

  // Reads the name of an enum value.
  template <typename E, std::size_t N>
  void Enum(const std::string& key,
            Presence presence,
            const std::array<EnumName<E>, N>& table,
            E& target) {
    std::string name;
    std::vector<std::string> known;
    for (const auto& row : table) {
      known.emplace_back(row.name);
    }
    if (OneOf(key, presence, known, name)) {
      target = *ValueOf(table, name);
    }
  }

  // Calls `read` with a JsonFields for each object of a list, then calls its Finish.
  void Objects(const std::string& key,
               Presence presence,
               const std::function<void(JsonFields& item, std::size_t index)>& read);

  // Calls `read` with a JsonFields for a member that is an object, then calls its Finish.
  void Object(const std::string& key,
              Presence presence,
              const std::function<void(JsonFields& member)>& read);

  // Reports a fault in a member of this object.
  void AddFault(const std::string& key, const std::string& reason);

  // Returns true if the object has the key.
  bool Has(const std::string& key) const;

  // Returns the JSON pointer to a member of this object.
  std::string PointerTo(const std::string& key) const;

  // Reports every key of the object that none of the functions above has read.
  void Finish();

 private:
  const nlohmann::json* Find(const std::string& key, Presence presence);
  bool OneOf(const std::string& key,
             Presence presence,
             const std::vector<std::string>& known,
             std::string& target);

  const nlohmann::json& value_;
  std::string pointer_;
  std::vector<JsonFault>& faults_;
  std::set<std::string> known_keys_;  // keys that were read, whether present or not
};

}  // namespace chiverail

#endif  // CHIVERAIL_JSON_FIELDS_H_
