#include "accounts/account_list.h"

#include <string>

#include <doctest/doctest.h>

namespace limpetrudder {
namespace {

TEST_CASE("a list of accounts refuses what can't be told apart") {
  AccountList list;
  list.Add({.name = "good"}, {"key-good"});
  SUBCASE("a second account with a name that is taken") {
    list.Add({.name = "good", .priority = 9}, {"key-second"});
    const auto directory = list.Build();
    REQUIRE(list.refusals().size() == 1);
    CHECK(list.refusals()[0].code == ResultCode::kDuplicateName);
    CHECK(directory.size() == 1);
    CHECK_FALSE(directory.Find("good")->priority);
    CHECK(directory.FindByKey("key-second") == nullptr);
  }
  SUBCASE("a key of two accounts, which keep their others") {
    list.Add({.name = "other"}, {"key-other", "key-good"});
    const auto directory = list.Build();
    CHECK(directory.FindByKey("key-good") == nullptr);
    CHECK(directory.FindByKey("key-other")->name == "other");
    CHECK(directory.size() == 2);
    CHECK(list.refusals().size() == 2);
  }
  SUBCASE("a key that also an account of a taken name has") {
    list.Add({.name = "good"}, {"key-good"});
    CHECK(list.Build().FindByKey("key-good") == nullptr);
  }
  SUBCASE("an empty key") {
    list.Add({.name = "other"}, {"", "key-other"});
    const auto directory = list.Build();
    CHECK(directory.FindByKey("") == nullptr);
    CHECK(directory.FindByKey("key-other")->name == "other");
    CHECK(list.refusals().size() == 1);
  }
  SUBCASE("but not a key that one account names twice") {
    list.Add({.name = "other"}, {"key-other", "key-other"});
    CHECK(list.Build().FindByKey("key-other")->name == "other");
    CHECK(list.refusals().empty());
  }
  SUBCASE("names that a header can't hold") {
    for (const char* name : {"", " a", "a ", "a\r\nb", "a\tb", "\xc3\xa9"})
      list.Add({.name = name}, {std::string("key-") + name});
    const auto directory = list.Build();
    CHECK(directory.size() == 1);
    CHECK(list.refusals().size() == 6);
    CHECK(directory.FindByKey("key-a ") == nullptr);
  }
  SUBCASE("and says why without the key") {
    list.Add({.name = "other"}, {"key-good"});
    list.Build();
    for (const auto& refusal : list.refusals())
      CHECK(refusal.reason.find("key-good") == std::string::npos);
  }
}

TEST_CASE("thousands of accounts are found, each by each key") {
  constexpr int kAccounts = 10'000;
  constexpr int kKeys = 10;
  AccountList list;
  for (int i = 0; i < kAccounts; ++i) {
    std::vector<std::string> keys;
    for (int key = 0; key < kKeys; ++key)
      keys.push_back(std::to_string(i) + "/" + std::to_string(key));
    list.Add({.name = "account-" + std::to_string(i)}, keys);
  }
  const auto directory = list.Build();
  CHECK(directory.size() == kAccounts);
  int found = 0;
  for (int i = 0; i < kAccounts; ++i) {
    for (int key = 0; key < kKeys; ++key) {
      const auto* account =
          directory.FindByKey(std::to_string(i) + "/" + std::to_string(key));
      if (account != nullptr && account->name == "account-" + std::to_string(i))
        ++found;
    }
  }
  CHECK(found == kAccounts * kKeys);
}

}  // namespace
}  // namespace limpetrudder
