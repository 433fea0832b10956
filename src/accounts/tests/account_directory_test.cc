#include "accounts/account_directory.h"

#include <doctest/doctest.h>

#include "accounts/account_list.h"

namespace limpetrudder {
namespace {

AccountDirectory MakeDirectory() {
  AccountList list;
  list.Add({.name = "west"}, {"key-w1", "key-w2"});
  list.Add({.name = "east", .priority = 3}, {"key-e1"});
  return list.Build();
}

TEST_CASE("a directory finds accounts") {
  SUBCASE("by each of their keys") {
    const auto directory = MakeDirectory();
    REQUIRE(directory.FindByKey("key-w1") != nullptr);
    CHECK(directory.FindByKey("key-w1")->name == "west");
    CHECK(directory.FindByKey("key-w2") == directory.FindByKey("key-w1"));
    CHECK(directory.FindByKey("key-e1")->priority == 3);
  }
  SUBCASE("not by any other text") {
    const auto directory = MakeDirectory();
    for (const char* key : {"", "key-w", "key-w11", "KEY-W1", "west"})
      CHECK(directory.FindByKey(key) == nullptr);
  }
  SUBCASE("by their names, in whose order they are listed") {
    const auto directory = MakeDirectory();
    CHECK(directory.Find("west")->name == "west");
    CHECK(directory.Find("wes") == nullptr);
    REQUIRE(directory.size() == 2);
    CHECK(directory.begin()->name == "east");
  }
  SUBCASE("none at all while no accounts are configured") {
    const AccountDirectory directory;
    CHECK_FALSE(directory.is_configured());
    CHECK(directory.FindByKey("key-w1") == nullptr);
  }
  SUBCASE("none, but asks for them, if every account was refused") {
    AccountList list;
    list.Refuse("west", ResultCode::kFieldWrongType, "its rate is a string");
    const auto directory = list.Build();
    CHECK(directory.empty());
    CHECK(directory.is_configured());
  }
}

TEST_CASE("digests of keys") {
  const auto digest = DigestOfKey("abc");
  SUBCASE("are the first bytes of the SHA-256") {
    CHECK(digest.bytes[0] == 0xba);
    CHECK(digest.bytes[15] == 0x23);
    CHECK(digest.prefix() == 0xba7816bf);
  }
  SUBCASE("are equal in every byte or not at all") {
    for (std::size_t i = 0; i < digest.bytes.size(); ++i) {
      KeyDigest other = digest;
      other.bytes[i] ^= 1;
      CHECK_FALSE(EqualInConstantTime(digest, other));
    }
    CHECK(EqualInConstantTime(digest, DigestOfKey("abc")));
  }
}

TEST_CASE("keys whose digests begin alike are told apart") {
  AccountDirectory::KeyOwner first{DigestOfKey("first"), 0};
  AccountDirectory::KeyOwner second = first;
  second.account = 1;
  second.digest.bytes[15] ^= 1;
  const AccountDirectory directory({{.name = "a"}, {.name = "b"}},
                                   {second, first});
  CHECK(directory.FindByKey("first")->name == "a");
}

}  // namespace
}  // namespace limpetrudder
