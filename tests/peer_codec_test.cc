#include "peer_codec.h"

#include <catch2/catch.hpp>

using namespace chiverail;

TEST_CASE("Peer messages are unchanged by encoding and decoding") {
  SECTION("a probe answer keeps every field") {
    TableProbeAnswer answer;
    answer.from = "west-1";
    answer.nonce = 7;
    answer.reached_table = true;
    answer.reached_ms_ago = 1500;
    answer.revision = 12;
    answer.in_force = 11;
    answer.head = R"({"revision":12})";
    const auto decoded = DecodePeerMessage(EncodePeerMessage(answer));
    REQUIRE(decoded);
    const auto& result = std::get<TableProbeAnswer>(*decoded);
    CHECK(result.from == "west-1");
    CHECK(result.nonce == 7);
    CHECK(result.reached_table);
    CHECK(result.reached_ms_ago == 1500);
    CHECK(result.revision == 12);
    CHECK(result.in_force == 11);
    CHECK(result.head == answer.head);
  }

  SECTION("a handover keeps its slots") {
    AdmissionHandover handover;
    handover.from = "west-1";
    handover.engine = "writer-1";
    handover.epoch = 5;
    handover.revision = 8;
    handover.concurrency_limit = 9;
    handover.slots = {{"r1", 16, "west-1", "adoptions"}, {"r2", 17, "west-2", "schools"}};
    const auto decoded = DecodePeerMessage(EncodePeerMessage(handover));
    REQUIRE(decoded);
    const auto& result = std::get<AdmissionHandover>(*decoded);
    REQUIRE(result.slots.size() == 2);
    CHECK(result.slots[1].request == "r2");
    CHECK(result.slots[1].attempt == 17);
    CHECK(result.revision == 8);
    CHECK(result.concurrency_limit == 9);
  }

  SECTION("corrupt bytes are rejected and not decoded as another message") {
    SlotRequest slot_request;
    slot_request.request = "r1";
    slot_request.engine = "writer-1";
    const std::string bytes = EncodePeerMessage(slot_request);
    CHECK_FALSE(DecodePeerMessage(""));
    CHECK_FALSE(DecodePeerMessage(std::string("\x09", 1) + bytes.substr(1)));
    CHECK_FALSE(DecodePeerMessage(bytes + "x"));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
      CHECK_FALSE(DecodePeerMessage(bytes.substr(0, length)));
    }
  }
}
