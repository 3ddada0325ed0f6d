#include "control/change_writer.h"

namespace hemlockward::control {

platform::Transaction MakeTransaction(const Change& change,
                                      const platform::Row& head,
                                      std::string nonce,
                                      base::ChangeRecord& record) {
  record.revision = peer::ParseHeadRevision(head.value) + 1;
  record.rows = change.rows;
  record.nonce = nonce;
  platform::Transaction transaction;
  transaction.nonce = std::move(nonce);
  transaction.conditions = change.conditions;
  transaction.conditions.push_back({"head", head.version});
  for (const base::RowChange& it : change.rows) {
    transaction.writes.push_back({it.key, it.value, it.value.empty()});
  }
  transaction.writes.push_back(
      {base::LogKey(record.revision), base::Encode(record)});
  transaction.writes.push_back({"head", std::to_string(record.revision)});
  return transaction;
}

}  // namespace hemlockward::control
