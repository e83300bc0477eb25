#ifndef CHIVERAIL_REPLY_H_
#define CHIVERAIL_REPLY_H_

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>

namespace chiverail {

// Promise by which an actor answers a waiting coroutine. Copies share one answer, and only the
// first Send has an effect. If the last copy is destroyed without an answer, because the actor
// failed, the coroutine receives an empty result.
template <typename T>
class Reply {
 public:
  Reply() = default;
  explicit Reply(std::function<void(std::optional<T>)> on_answer)
      : state_(std::make_shared<State>(std::move(on_answer))) {}

  // Sends the answer; ignored if one was already sent.
  void Send(T answer) const {
    if (state_) {
      state_->Deliver(std::move(answer));
    }
  }

 private:
  struct State {
    explicit State(std::function<void(std::optional<T>)> callback)
        : on_answer(std::move(callback)) {}
    ~State() { Deliver(std::nullopt); }

    void Deliver(std::optional<T> answer) {
      std::function<void(std::optional<T>)> callback;
      {
        const std::lock_guard<std::mutex> lock(mutex);
        callback.swap(on_answer);
      }
      if (callback) {
        callback(std::move(answer));
      }
    }

    std::mutex mutex;
    std::function<void(std::optional<T>)> on_answer;
  };

  std::shared_ptr<State> state_;
};

// Calls `start` with a Reply and suspends the coroutine until the answer arrives. Returns nullopt
// if the Reply was destroyed without an answer.
template <typename T, typename Start>
std::optional<T> AwaitReply(boost::asio::yield_context yield, Start start) {
  return boost::asio::async_initiate<boost::asio::yield_context, void(std::optional<T>)>(
      [start = std::move(start)](auto handler) mutable {
        auto executor = boost::asio::get_associated_executor(handler);
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        start(Reply<T>([shared, executor](std::optional<T> answer) mutable {
          boost::asio::post(executor,
                            [shared = std::move(shared), answer = std::move(answer)]() mutable {
                              (*shared)(std::move(answer));
                            });
        }));
      },
      yield);
}

}  // namespace chiverail

#endif  // CHIVERAIL_REPLY_H_
