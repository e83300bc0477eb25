#include "rows.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "manifest.h"

namespace chiverail {
namespace {

using nlohmann::json;

const json kEmptyArray = json::array();

// Reads typed fields of one JSON object and collects the faults found, so that a malformed row is
// reported once with all of its faults.
class FieldReader {
 public:
  FieldReader(const json& object, std::string pointer, std::vector<JsonFault>& faults)
      : object_(object), pointer_(std::move(pointer)), faults_(faults) {
    if (!object_.is_object()) {
      faults_.push_back({pointer_, "must be an object"});
    }
  }

  std::uint64_t Number(const char* name) {
    const json* field = Find(name);
    if (field == nullptr) {
      return 0;
    }
    if (!field->is_number_unsigned()) {
      AddFault(name, "must be a non-negative integer");
      return 0;
    }
    return field->get<std::uint64_t>();
  }

  std::string Text(const char* name) {
    const json* field = Find(name);
    if (field == nullptr) {
      return {};
    }
    if (!field->is_string()) {
      AddFault(name, "must be a string");
      return {};
    }
    return field->get<std::string>();
  }

  // Returns the array called `name`, or an empty one.
  const json& Array(const char* name) {
    const json* field = Find(name);
    if (field == nullptr) {
      return kEmptyArray;
    }
    if (!field->is_array()) {
      AddFault(name, "must be an array");
      return kEmptyArray;
    }
    return *field;
  }

  template <typename E, std::size_t N>
  E EnumField(const char* name, const std::array<EnumName<E>, N>& table) {
    const std::string text = Text(name);
    const auto value = ValueOf(table, text);
    if (!value && Find(name) != nullptr) {
      AddFault(name, "unknown value \"" + text + "\"");
    }
    return value.value_or(table[0].value);
  }

  std::string Pointer(const char* name) const { return pointer_ + "/" + name; }
  void AddFault(const char* name, const std::string& reason) {
    faults_.push_back({Pointer(name), reason});
  }

 private:
  const json* Find(const char* name) {
    if (!object_.is_object()) {
      return nullptr;
    }
    const auto found = object_.find(name);
    if (found == object_.end()) {
      const JsonFault missing{Pointer(name), "is missing"};
      const auto same = [&](const JsonFault& fault) { return fault.pointer == missing.pointer; };
      if (std::none_of(faults_.begin(), faults_.end(), same)) {
        faults_.push_back(missing);
      }
      return nullptr;
    }
    return &*found;
  }

  const json& object_;
  std::string pointer_;
  std::vector<JsonFault>& faults_;
};

// Parses a row value with `read`, which gets a reader of its fields; throws when faults were found.
template <typename Row, typename Read>
Row ParseRow(const std::string& text, Read read) {
  std::vector<JsonFault> faults;
  const json document = json::parse(text, nullptr, false);
  if (document.is_discarded()) {
    throw InvalidDocument(std::vector<JsonFault>{{"", "is not JSON"}});
  }
  FieldReader reader(document, "", faults);
  Row row = read(reader, faults);
  if (!faults.empty()) {
    throw InvalidDocument(std::move(faults));
  }
  return row;
}

Member ReadMember(FieldReader& reader, const DataCentreId& data_centre) {
  Member member;
  member.id = reader.Text("id");
  member.generation = reader.Number("generation");
  member.data_centre = data_centre;
  member.address = reader.Text("address");
  member.peer_address = reader.Text("peer_address");
  member.state = reader.EnumField("state", kMemberStateNames);
  return member;
}

std::string ItemPointer(const FieldReader& reader, const char* name, std::size_t index) {
  return reader.Pointer(name) + "/" + std::to_string(index);
}

// Reverts one change of a row; must be called for the newest change first. Only ids and states are
// restored, since the owners depend on nothing else.
void UndoChange(MembersRow& row, const MemberChange& change) {
  const auto found = std::find_if(row.members.begin(), row.members.end(),
                                  [&](const Member& member) { return member.id == change.id; });
  switch (change.kind) {
    case MemberChangeKind::kJoined:
      if (found != row.members.end()) {
        row.members.erase(found);
      }
      break;
    case MemberChangeKind::kLeaving:
      if (found != row.members.end()) {
        found->state = MemberState::kLive;
      }
      break;
    case MemberChangeKind::kRemovedLive:
    case MemberChangeKind::kRemovedLeaving: {
      Member member;
      member.id = change.id;
      member.data_centre = row.members.empty() ? DataCentreId() : row.members[0].data_centre;
      member.state = change.kind == MemberChangeKind::kRemovedLive ? MemberState::kLive
                                                                   : MemberState::kLeaving;
      row.members.push_back(std::move(member));
      break;
    }
  }
}

}  // namespace

void AppendChange(MembersValue& value, MemberChange change) {
  value.recent.push_back(std::move(change));
  if (value.recent.size() > kRecentChanges) {
    value.recent.erase(value.recent.begin());
  }
}

// Every epoch has at least one change, so a gap in the kept epochs shows that changes were dropped.
// Some changes of the oldest kept epoch may have been dropped, so the row before that epoch is not
// reconstructed.
std::vector<MembersRow> RowsSince(const MembersValue& value, std::uint64_t known) {
  std::vector<MembersRow> rows;
  MembersRow row = value.row;
  auto change = value.recent.rbegin();
  while (row.epoch > known) {
    rows.push_back(row);
    if (row.epoch == known + 1) {
      std::reverse(rows.begin(), rows.end());
      return rows;
    }
    if (change == value.recent.rend() || change->epoch != row.epoch) {
      return {};
    }
    while (change != value.recent.rend() && change->epoch == row.epoch) {
      UndoChange(row, *change++);
    }
    if (change == value.recent.rend()) {
      return {};
    }
    --row.epoch;
  }
  return rows;
}

HeadRow ParseHead(const std::string& text) {
  return ParseRow<HeadRow>(text, [](FieldReader& reader, std::vector<JsonFault>& faults) {
    HeadRow row;
    row.revision = reader.Number("revision");
    row.manifest_hash = reader.Text("manifest_hash");
    const json& out = reader.Array("data_centres_out");
    for (std::size_t i = 0; i < out.size(); ++i) {
      if (out[i].is_string()) {
        row.data_centres_out.insert(out[i].get<std::string>());
      } else {
        faults.push_back({ItemPointer(reader, "data_centres_out", i), "must be a string"});
      }
    }
    row.author = reader.Text("author");
    row.nonce = reader.Text("nonce");
    return row;
  });
}

AuditRow ParseAudit(const std::string& text) {
  return ParseRow<AuditRow>(text, [](FieldReader& reader, std::vector<JsonFault>&) {
    AuditRow row;
    row.author = reader.Text("author");
    row.at_unix_ms = reader.Number("at_unix_ms");
    row.from = reader.Number("from");
    row.to = reader.Number("to");
    row.subject = reader.Text("subject");
    row.change = reader.Text("change");
    row.manifest_hash = reader.Text("manifest_hash");
    row.outcome = reader.Text("outcome");
    row.nonce = reader.Text("nonce");
    return row;
  });
}

LeaseRow ParseLease(const std::string& text) {
  return ParseRow<LeaseRow>(text, [](FieldReader& reader, std::vector<JsonFault>&) {
    LeaseRow row;
    row.generation = reader.Number("generation");
    row.sequence = reader.Number("sequence");
    row.revision = reader.Number("revision");
    return row;
  });
}

EpochRow ParseEpoch(const std::string& text) {
  return ParseRow<EpochRow>(text, [](FieldReader& reader, std::vector<JsonFault>&) {
    return EpochRow{reader.Number("epoch")};
  });
}

MembersValue ParseMembers(const std::string& text, const DataCentreId& data_centre) {
  return ParseRow<MembersValue>(text, [&](FieldReader& reader, std::vector<JsonFault>& faults) {
    MembersValue value;
    value.row.epoch = reader.Number("epoch");
    const json& members = reader.Array("members");
    for (std::size_t i = 0; i < members.size(); ++i) {
      FieldReader item(members[i], ItemPointer(reader, "members", i), faults);
      value.row.members.push_back(ReadMember(item, data_centre));
    }
    const json& recent = reader.Array("recent");
    for (std::size_t i = 0; i < recent.size(); ++i) {
      FieldReader item(recent[i], ItemPointer(reader, "recent", i), faults);
      MemberChange change;
      change.epoch = item.Number("epoch");
      change.id = item.Text("id");
      change.kind = item.EnumField("kind", kMemberChangeKindNames);
      value.recent.push_back(std::move(change));
    }
    return value;
  });
}

std::string SerializeRow(const HeadRow& row) {
  return json{{"revision", row.revision},
              {"manifest_hash", row.manifest_hash},
              {"data_centres_out", row.data_centres_out},
              {"author", row.author},
              {"nonce", row.nonce}}
      .dump();
}

std::string SerializeRow(const AuditRow& row) {
  return json{{"author", row.author},
              {"at_unix_ms", row.at_unix_ms},
              {"from", row.from},
              {"to", row.to},
              {"subject", row.subject},
              {"change", row.change},
              {"manifest_hash", row.manifest_hash},
              {"outcome", row.outcome},
              {"nonce", row.nonce}}
      .dump();
}

std::string SerializeRow(const LeaseRow& row) {
  return json{
      {"generation", row.generation}, {"sequence", row.sequence}, {"revision", row.revision}}
      .dump();
}

std::string SerializeRow(const EpochRow& row) {
  return json{{"epoch", row.epoch}}.dump();
}

std::string SerializeRow(const MembersValue& value) {
  json members = json::array();
  for (const Member& member : value.row.members) {
    members.push_back({{"id", member.id},
                       {"generation", member.generation},
                       {"address", member.address},
                       {"peer_address", member.peer_address},
                       {"state", NameOf(kMemberStateNames, member.state)}});
  }
  json recent = json::array();
  for (const MemberChange& change : value.recent) {
    recent.push_back({{"epoch", change.epoch},
                      {"id", change.id},
                      {"kind", NameOf(kMemberChangeKindNames, change.kind)}});
  }
  return json{{"epoch", value.row.epoch}, {"members", members}, {"recent", recent}}.dump();
}

}  // namespace chiverail
