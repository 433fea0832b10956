#include "config/document.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "config/internal/document_codec.h"
#include "config/internal/document_schema.h"

namespace limpetrudder {
namespace {

// Checks the rules that the schema can't express and collects every error.
class SemanticValidator {
 public:
  std::vector<Error> Run(const nlohmann::json& json) {
    for (const auto& entry : json.at("data_centres"))
      data_centres_.insert(entry.at("name").get<std::string>());
    CheckUnique(json.at("data_centres"), "/data_centres", "data centre");
    CheckUnique(json.at("collections"), "/collections", "collection");
    CheckUnique(json.at("callers"), "/callers", "caller");
    CheckCollections(json.at("collections"));
    CheckCallers(json);
    return std::move(errors_);
  }

 private:
  void AddError(ResultCode code, std::string pointer, std::string message) {
    errors_.push_back({code, std::move(pointer), std::move(message)});
  }

  void CheckUnique(const nlohmann::json& list,
                   const std::string& pointer,
                   const std::string& kind) {
    std::set<std::string> names;
    for (std::size_t i = 0; i < list.size(); ++i) {
      const std::string name = list[i].at("name");
      if (!names.insert(name).second) {
        AddError(ResultCode::kDuplicateName,
                 pointer + "/" + std::to_string(i) + "/name",
                 "another " + kind + " is called \"" + name + "\"");
      }
    }
  }

  void CheckCollections(const nlohmann::json& collections) {
    for (std::size_t i = 0; i < collections.size(); ++i) {
      const std::string pointer =
          "/collections/" + std::to_string(i) + "/services";
      const auto& services = collections[i].at("services");
      for (std::size_t j = 0; j < services.size(); ++j)
        CheckService(services[j], i, pointer + "/" + std::to_string(j));
    }
  }

  void CheckService(const nlohmann::json& service,
                    std::size_t collection,
                    const std::string& pointer) {
    const std::string name = service.at("name");
    const auto [first, is_new] = services_.try_emplace(name, collection);
    if (!is_new) {
      AddError(first->second == collection
                   ? ResultCode::kDuplicateName
                   : ResultCode::kServiceInTwoCollections,
               pointer + "/name", "another service is called \"" + name + "\"");
    }
    const auto& shards = service.at("shards");
    for (std::size_t k = 0; k < shards.size(); ++k)
      CheckShard(shards[k], pointer + "/shards/" + std::to_string(k));
  }

  void CheckShard(const nlohmann::json& shard, const std::string& pointer) {
    const std::string name = shard.at("name");
    if (!shards_.insert(name).second) {
      AddError(ResultCode::kDuplicateName, pointer + "/name",
               "another shard is called \"" + name + "\"");
    }
    const auto& servers = shard.at("servers");
    if (servers.empty()) {
      AddError(ResultCode::kShardWithoutServer, pointer + "/servers",
               "shard \"" + name + "\" has no server");
    }
    for (std::size_t n = 0; n < servers.size(); ++n)
      CheckServer(servers[n], pointer + "/servers/" + std::to_string(n));
  }

  void CheckServer(const nlohmann::json& server, const std::string& pointer) {
    const std::string name = server.at("name");
    if (!servers_.insert(name).second) {
      AddError(ResultCode::kDuplicateName, pointer + "/name",
               "another server is called \"" + name + "\"");
    }
    const std::string address = server.at("address");
    if (!addresses_.insert(address).second) {
      AddError(ResultCode::kDuplicateName, pointer + "/address",
               "another server has the address " + address);
    }
    const std::string data_centre = server.at("data_centre");
    if (!data_centres_.count(data_centre)) {
      AddError(ResultCode::kNameNotDefined, pointer + "/data_centre",
               "no data centre is called \"" + data_centre + "\"");
    }
    if (server.at("slots") > server.at("connections")) {
      AddError(ResultCode::kSlotsAboveConnections, pointer + "/slots",
               "server \"" + name + "\" has more slots than connections");
    }
  }

  void CheckCallers(const nlohmann::json& json) {
    std::set<std::string> collections;
    for (const auto& collection : json.at("collections"))
      collections.insert(collection.at("name").get<std::string>());
    const auto& callers = json.at("callers");
    for (std::size_t i = 0; i < callers.size(); ++i) {
      const std::string pointer = "/callers/" + std::to_string(i);
      CheckGrants(callers[i], pointer, collections);
      if (!tokens_.insert(callers[i].at("token_sha256")).second) {
        AddError(ResultCode::kDuplicateName, pointer + "/token_sha256",
                 "another caller has the same token");
      }
    }
  }

  void CheckGrants(const nlohmann::json& caller,
                   const std::string& pointer,
                   const std::set<std::string>& collections) {
    const auto& granted = caller.at("collections");
    for (std::size_t i = 0; i < granted.size(); ++i) {
      const std::string name = granted[i];
      if (!collections.count(name)) {
        AddError(ResultCode::kNameNotDefined,
                 pointer + "/collections/" + std::to_string(i),
                 "no collection is called \"" + name + "\"");
      }
    }
  }

  std::vector<Error> errors_;
  std::set<std::string> data_centres_;
  std::map<std::string, std::size_t> services_;  // Index of the collection.
  std::set<std::string> shards_;
  std::set<std::string> servers_;
  std::set<std::string> addresses_;
  std::set<std::string> tokens_;
};

}  // namespace

std::vector<Error> CheckDocument(const nlohmann::json& json) {
  std::vector<Error> errors = detail::DocumentSchema().Check(json);
  if (!errors.empty())
    return errors;
  return SemanticValidator().Run(json);
}

CheckedResult<Document> ReadDocument(const nlohmann::json& json) {
  std::vector<Error> errors = CheckDocument(json);
  if (!errors.empty())
    return BOOST_OUTCOME_V2_NAMESPACE::failure(std::move(errors));
  Document document;
  document.data_centres = detail::ReadDataCentres(json.at("data_centres"));
  for (const auto& collection : json.at("collections"))
    document.collections.push_back(detail::ReadCollection(collection));
  document.callers = detail::ReadCallers(json.at("callers"));
  detail::SortByToken(&document.callers);
  return document;
}

const Collection* FindCollection(const Document& document,
                                 std::string_view name) {
  for (const auto& collection : document.collections) {
    if (collection->name == name)
      return collection.get();
  }
  return nullptr;
}

const Caller* FindCaller(const Document& document,
                         std::string_view token_sha256) {
  const auto found = std::lower_bound(
      document.callers.begin(), document.callers.end(), token_sha256,
      [](const Caller& caller, std::string_view token) {
        return caller.token_sha256 < token;
      });
  if (found == document.callers.end() || found->token_sha256 != token_sha256)
    return nullptr;
  return &*found;
}

bool IsGranted(const Caller& caller, std::string_view collection) {
  return std::find(caller.collections.begin(), caller.collections.end(),
                   collection) != caller.collections.end();
}

}  // namespace limpetrudder
