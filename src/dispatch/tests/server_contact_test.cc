#include <doctest/doctest.h>

#include "dispatch/internal/server_contact.h"

namespace limpetrudder::detail {
namespace {

TEST_CASE("An instance loses contact with the servers") {
  ServerContact contact;
  Time now(Seconds(10));
  const auto send_to = [&](const char* server) { contact.OnSent(server, now); };

  SUBCASE("requests to two servers don't show it, however long they take") {
    send_to("a");
    send_to("b");
    send_to("a");
    CHECK_FALSE(contact.Check(now + Seconds(60)));
    CHECK(contact.NextCheck() == kNever);
  }
  SUBCASE("three servers that haven't responded for a second show it") {
    send_to("a");
    send_to("b");
    now += Millis(100);
    send_to("c");
    CHECK(contact.NextCheck() == now + Seconds(1));
    CHECK_FALSE(contact.Check(now + Millis(999)));
    CHECK(contact.Check(now + Seconds(1)));
    CHECK(contact.lost());

    SUBCASE("it is reported once") {
      CHECK_FALSE(contact.Check(now + Seconds(2)));
    }
    SUBCASE("servers are probed at intervals") {
      now += Seconds(1);
      CHECK(contact.TakeProbe(now));
      CHECK_FALSE(contact.TakeProbe(now + Millis(299)));
      CHECK(contact.NextCheck() == now + Millis(300));
      CHECK(contact.TakeProbe(now + Millis(300)));
    }
    SUBCASE("a response of any server restores it") {
      CHECK(contact.OnResponse(now + Seconds(2)));
      CHECK_FALSE(contact.lost());
      CHECK_FALSE(contact.OnResponse(now + Seconds(2)));
      CHECK_FALSE(contact.Check(now + Seconds(9)));
    }
  }
  SUBCASE("a response of any server begins the second anew") {
    send_to("a");
    send_to("b");
    send_to("c");
    now += Millis(900);
    CHECK_FALSE(contact.OnResponse(now));
    now += Millis(200);
    CHECK_FALSE(contact.Check(now));
    send_to("a");
    send_to("b");
    send_to("c");
    CHECK_FALSE(contact.Check(now + Millis(999)));
    CHECK(contact.Check(now + Seconds(1)));
  }
  SUBCASE("no server is probed while there is contact") {
    CHECK_FALSE(contact.TakeProbe(now));
  }
}

}  // namespace
}  // namespace limpetrudder::detail
