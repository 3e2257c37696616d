// WebSocket frames whose memory is counted until they are written. Included
// where C++17 is compiled only; see peer_network.h.
#pragma once

#include <cassert>
#include <memory>
#include <string>
#include <utility>

#include <websocketpp/processors/hybi13.hpp>

#include "peer/send_budget.h"

namespace burdocklock::peer {

/// One frame that may be sent on several connections; its bytes are counted
/// from `Count` on and released with it.
template <typename Message>
class counted_frame {
 public:
  counted_frame(std::shared_ptr<Message> frame,
                std::shared_ptr<send_budget> budget,
                delivery delivery)
      : frame_(std::move(frame)),
        budget_(std::move(budget)),
        delivery_(delivery) {}
  counted_frame(const counted_frame&) = delete;
  counted_frame& operator=(const counted_frame&) = delete;
  ~counted_frame() {
    if (is_counted_) {
      budget_->ReleasePayload(bytes(), delivery_);
    }
  }

  [[nodiscard]] std::size_t bytes() const {
    return frame_->get_payload().size();
  }
  [[nodiscard]] std::size_t uncounted_bytes() const {
    return is_counted_ ? 0 : bytes();
  }
  /// Returns the frame as one connection keeps it: released for that one when
  /// it is written.
  static std::shared_ptr<Message> KeepFor(
      const std::shared_ptr<counted_frame>& self,
      connection_key connection) {
    if (!std::exchange(self->is_counted_, true)) {
      self->budget_->KeepPayload(self->bytes(), self->delivery_);
    }
    self->budget_->KeepFor(connection, self->bytes(), self->delivery_);
    return std::shared_ptr<Message>(
        self->frame_.get(), [self, connection](Message*) {
          self->budget_->ReleaseFor(connection, self->bytes());
        });
  }

 private:
  std::shared_ptr<Message> frame_;
  std::shared_ptr<send_budget> budget_;
  delivery delivery_;
  bool is_counted_ = false;
};

/// Makes the binary frames of a server or client.
template <typename Config>
class frame_maker {
 public:
  using message = typename Config::message_type;

  explicit frame_maker(bool is_server)
      : manager_(std::make_shared<typename Config::con_msg_manager_type>()),
        processor_(false, is_server, manager_, random_) {}

  std::shared_ptr<message> Make(const std::string& bytes) {
    const auto payload =
        manager_->get_message(websocketpp::frame::opcode::binary, bytes.size());
    payload->append_payload(bytes);
    auto frame = manager_->get_message();
    const websocketpp::lib::error_code problem =
        processor_.prepare_data_frame(payload, frame);
    // It fails for control frames and malformed text only.
    assert(!problem);
    static_cast<void>(problem);
    return frame;
  }

 private:
  std::shared_ptr<typename Config::con_msg_manager_type> manager_;
  typename Config::rng_type random_;
  websocketpp::processor::hybi13<Config> processor_;
};

}  // namespace burdocklock::peer
