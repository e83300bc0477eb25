#ifndef CHIVERAIL_TESTS_FAKE_STORE_H_
#define CHIVERAIL_TESTS_FAKE_STORE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <absl/strings/escaping.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "http_listener.h"
#include "http_types.h"

namespace chiverail {

// The platform's store with one table, served over HTTP on loopback. It can be taken away and come
// back from an older copy.
class FakeStore {
 public:
  // How the store deals with a call.
  enum class Fault : std::uint8_t {
    kNone,
    kAway,  // closes the connection
    kLost,  // the answer is lost
    kLate,  // the answer comes 200 ms later, as it was when the call arrived
  };

  // A copy of the store's contents.
  struct Copy {
    std::uint64_t counter = 0;
    std::map<std::string, std::pair<std::string, std::uint64_t>> rows;  // value and version
    std::map<std::string, std::uint64_t> deleted;                       // version of the deletion
  };

  FakeStore(boost::asio::io_context& io, int port)
      : io_(io),
        address_("127.0.0.1:" + std::to_string(port)),
        listener_(io, address_, [this](const auto& caller, const CallerRequest& request) {
          Handle(caller, request);
        }) {}

  void Put(const std::string& key, const std::string& value) {
    now_.rows[key] = {value, ++now_.counter};
    now_.deleted.erase(key);
    AnswerPolls();
  }

  void Delete(const std::string& key) {
    now_.rows.erase(key);
    now_.deleted[key] = ++now_.counter;
    AnswerPolls();
  }

  // Raises the counter, as writes to other tables do.
  void Skip(std::uint64_t transactions) { now_.counter += transactions; }

  Copy TakeCopy() const { return now_; }

  // Begins a new era with the contents of a copy. Calls that are held back end without an answer.
  void Restore(Copy copy) {
    now_ = std::move(copy);
    ++era_;
    for (Poll& poll : std::exchange(polls_, {})) {
      if (const auto caller = poll.caller.lock()) {
        caller->Abort();
      }
    }
  }

  std::map<std::string, std::string> Rows() const {
    std::map<std::string, std::string> rows;
    for (const auto& [key, row] : now_.rows) {
      rows[key] = row.first;
    }
    return rows;
  }

  const std::string& address() const { return address_; }
  std::uint64_t counter() const { return now_.counter; }

  Fault fault = Fault::kNone;
  std::size_t page = 500;                   // rows in a page of a listing
  std::function<void()> after_page;         // called after a page that is not the last one
  std::function<Fault(int call)> fault_of;  // of the nth call, if set
  int calls = 0;

 private:
  struct Poll {
    std::weak_ptr<CallerConnection> caller;
    std::uint64_t after = 0;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  static nlohmann::json Row(const std::string& key,
                            const std::pair<std::string, std::uint64_t>& row) {
    return {{"key", key}, {"value", absl::Base64Escape(row.first)}, {"ver", row.second}};
  }

  void Send(const std::shared_ptr<CallerConnection>& caller, int status, const std::string& body) {
    const Fault fault_now = fault_of ? fault_of(calls) : fault;
    const std::vector<HttpHeader> fields{{"Store-Era", std::to_string(era_)}};
    if (fault_now == Fault::kLost) {
      return;
    }
    if (fault_now == Fault::kLate) {
      const auto timer = std::make_shared<boost::asio::steady_timer>(io_, milliseconds(200));
      timer->async_wait([timer, caller, status, fields, body](const auto&) {
        caller->Respond(status, {}, fields, body);
      });
      return;
    }
    caller->Respond(status, {}, fields, body);
  }

  void SendRows(const std::shared_ptr<CallerConnection>& caller, nlohmann::json rows, bool more) {
    Send(caller, 200,
         nlohmann::json{{"rows", std::move(rows)}, {"ver", now_.counter}, {"has_more", more}}
             .dump());
  }

  void Handle(const std::shared_ptr<CallerConnection>& caller, const CallerRequest& request) {
    ++calls;
    const HttpTarget target = ParseTarget(request.head.target);
    if ((fault_of ? fault_of(calls) : fault) == Fault::kAway) {
      caller->Abort();
    } else if (target.path == "/api/rows-get") {
      List(caller, target.Parameter("from"));
    } else {
      const std::uint64_t after = std::stoull(target.Parameter("since_rev"));
      const auto wait = milliseconds(std::stoll(target.Parameter("wait_ms")));
      if (after > now_.counter) {
        Send(caller, 410, "");
      } else if (!SendChanges(caller, after, wait.count() == 0)) {
        Hold(caller, after, wait);
      }
    }
  }

  void List(const std::shared_ptr<CallerConnection>& caller, const std::string& from) {
    nlohmann::json rows = nlohmann::json::array();
    auto row = now_.rows.lower_bound(from);
    for (; row != now_.rows.end() && rows.size() < page; ++row) {
      rows.push_back(Row(row->first, row->second));
    }
    const bool more = row != now_.rows.end();
    SendRows(caller, std::move(rows), more);
    if (more && after_page) {
      after_page();
    }
  }

  bool SendChanges(const std::shared_ptr<CallerConnection>& caller,
                   std::uint64_t after,
                   bool allow_empty) {
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& [key, version] : now_.deleted) {
      if (version > after) {
        rows.push_back({{"key", key}, {"ver", version}, {"tombstone", true}});
      }
    }
    for (const auto& [key, row] : now_.rows) {
      if (row.second > after) {
        rows.push_back(Row(key, row));
      }
    }
    if (rows.empty() && !allow_empty) {
      return false;
    }
    SendRows(caller, std::move(rows), false);
    return true;
  }

  void Hold(const std::shared_ptr<CallerConnection>& caller,
            std::uint64_t after,
            milliseconds wait) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(io_, wait);
    polls_.push_back({caller, after, timer});
    timer->async_wait([this, caller = std::weak_ptr(caller), after](const auto& cancelled) {
      const auto held = caller.lock();
      if (!cancelled && held && held->busy() && !held->response_started()) {
        SendChanges(held, after, true);
      }
    });
  }

  void AnswerPolls() {
    for (Poll& poll : std::exchange(polls_, {})) {
      const auto caller = poll.caller.lock();
      poll.timer->cancel();
      if (caller && caller->busy() && !SendChanges(caller, poll.after, false)) {
        polls_.push_back(std::move(poll));
      }
    }
  }

  boost::asio::io_context& io_;
  std::string address_;
  HttpListener listener_;
  Copy now_;
  std::uint64_t era_ = 3;
  std::vector<Poll> polls_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_TESTS_FAKE_STORE_H_
