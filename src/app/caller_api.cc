#include "app/caller_api.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "app/internal/json_api.h"
#include "config/document.h"
#include "framework/clock.h"
#include "framework/hash.h"
#include "framework/http_status.h"
#include "framework/json_schema.h"

namespace limpetrudder {
namespace {

// Subtracted from a caller's deadline to leave time to write the response.
constexpr Duration kResponseMargin = Millis(2);
constexpr std::int64_t kDefaultWriteDeadlineMs = 2000;
constexpr std::uint32_t kDefaultResultLimit = 10;

constexpr std::string_view kSearchSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["collection", "terms"],
  "properties": {
    "collection": {"type": "string", "minLength": 1, "maxLength": 63},
    "terms": {"type": "string", "maxLength": 4096},
    "limit": {"type": "integer", "minimum": 1, "maximum": 1000},
    "deadline_ms": {"type": "integer", "minimum": -1000000, "maximum": 60000},
    "explain": {"type": "boolean"}
  }
})json";

constexpr std::string_view kWriteSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["key", "collection", "route", "body"],
  "properties": {
    "key": {"type": "string", "minLength": 1, "maxLength": 256},
    "collection": {"type": "string", "minLength": 1, "maxLength": 63},
    "route": {"type": "string", "maxLength": 256},
    "body": {"type": "string", "maxLength": 65536},
    "deadline_ms": {"type": "integer", "minimum": 1, "maximum": 60000}
  }
})json";

constexpr std::string_view kIssueKeySchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["collection"],
  "properties": {
    "collection": {"type": "string", "minLength": 1, "maxLength": 63}
  }
})json";

// Parses `text` and validates it against `schema`. If it is refused, sends the
// refusal through `respond` and returns nothing.
std::optional<Json> ReadBody(const JsonSchema& schema,
                             const std::string& text,
                             const Responder& respond) {
  auto json = ParseJson(text);
  if (!json) {
    respond(Refusal(json.error().code, json.error().message));
    return std::nullopt;
  }
  const auto faults = schema.Check(json.assume_value());
  if (faults.empty())
    return std::move(json.assume_value());
  const Error& first = faults.front();
  respond(Refusal(first.code, first.pointer + ": " + first.message));
  return std::nullopt;
}

}  // namespace

CallerApi::CallerApi(std::string id_prefix,
                     InstanceState* instance_state,
                     SearchDuty::Mailbox* search,
                     WriteDuty::Mailbox* write)
    : id_prefix_(std::move(id_prefix)),
      instance_state_(instance_state),
      search_mailbox_(search),
      write_mailbox_(write) {}

std::string CallerApi::NextRequestId() {
  return id_prefix_ + "-" + std::to_string(next_id_++);
}

void CallerApi::OnConnectionClosed(std::uint64_t connection) {
  search_mailbox_->PostResult(CallerDisconnected{connection});
}

void CallerApi::OnRequest(ServerRequest request, Responder respond) {
  const auto config = instance_state_->config();
  if (request.path == "/v1/ready") {
    if (instance_state_->ready())
      return respond({http_status::kOk, R"({"ready":true})"});
    if (instance_state_->stopping())
      return respond(Refusal(ResultCode::kStopping, "shutting down"));
    return respond(Refusal(ResultCode::kNotReady,
                           config ? "the fleet isn't known yet"
                                  : "no configuration is in force yet"));
  }
  if (!config) {
    return respond(
        Refusal(ResultCode::kNotReady, "no configuration is in force yet"));
  }
  const Caller* caller =
      FindCaller(config->document, Sha256Hex(request.bearer_token));
  if (caller == nullptr) {
    return respond(
        Refusal(ResultCode::kNotAuthorised, "the bearer token isn't known"));
  }
  const std::string route = request.method + " " + request.path;
  if (route == "POST /v1/search")
    return OnSearch(request, *caller, std::move(respond));
  if (route == "POST /v1/keys")
    return OnWrite(WriteAction::kIssueKey, request, *caller, respond);
  if (route == "POST /v1/writes")
    return OnWrite(WriteAction::kRun, request, *caller, respond);
  if (route == "GET /v1/writes")
    return OnWrite(WriteAction::kOutcome, request, *caller, respond);
  if (route == "DELETE /v1/writes")
    return OnWrite(WriteAction::kCancel, request, *caller, respond);
  respond(Refusal(ResultCode::kNoSuchPath, "no such path or method"));
}

void CallerApi::OnSearch(const ServerRequest& request,
                         const Caller& caller,
                         Responder respond) {
  static const JsonSchema schema(kSearchSchema);
  const auto body = ReadBody(schema, request.body, respond);
  if (!body)
    return;
  CallerSearch event;
  SearchRequest& search = event.request;
  search.collection = body->at("collection");
  const auto config = instance_state_->config();
  const Collection* collection =
      FindCollection(config->document, search.collection);
  if (collection == nullptr) {
    return respond(
        Refusal(ResultCode::kCollectionUnknown,
                "no collection is called \"" + search.collection + "\""));
  }
  if (!IsGranted(caller, search.collection)) {
    return respond(Refusal(ResultCode::kNotGranted,
                           "the caller isn't granted this collection"));
  }
  const Duration time_left =
      Millis(body->value("deadline_ms", WholeMillis(collection->deadline)));
  if (time_left <= kResponseMargin) {
    return respond(
        Refusal(ResultCode::kDeadlinePassed, "the deadline has passed"));
  }
  search.request_id = NextRequestId();
  search.terms = body->at("terms");
  search.limit = body->value("limit", kDefaultResultLimit);
  search.caller = caller.name;
  search.caller_class = caller.caller_class;
  search.deadline = SteadyNow() + time_left - kResponseMargin;
  search.explain = body->value("explain", false);
  event.connection = request.connection;
  event.respond = respond;
  if (search_mailbox_->Post(std::move(event)))
    return;
  instance_state_->metrics().Add("searches.ring_full");
  respond(Refusal(ResultCode::kRingFull, "too many requests wait"));
}

void CallerApi::OnWrite(WriteAction action,
                        const ServerRequest& request,
                        const Caller& caller,
                        Responder respond) {
  static const JsonSchema write_schema(kWriteSchema);
  static const JsonSchema issue_key_schema(kIssueKeySchema);
  if (!caller.may_write) {
    return respond(
        Refusal(ResultCode::kNotGranted, "the caller may not write"));
  }
  CallerWrite event;
  event.action = action;
  WriteRequest& write = event.request;
  Duration time_left = Millis(kDefaultWriteDeadlineMs);
  if (action == WriteAction::kRun || action == WriteAction::kIssueKey) {
    const auto body =
        ReadBody(action == WriteAction::kRun ? write_schema : issue_key_schema,
                 request.body, respond);
    if (!body)
      return;
    write.key = body->value("key", std::string());
    write.collection = body->at("collection");
    write.route = body->value("route", std::string());
    write.body = body->value("body", std::string());
    time_left = Millis(body->value("deadline_ms", kDefaultWriteDeadlineMs));
    if (!IsGranted(caller, write.collection)) {
      return respond(Refusal(ResultCode::kNotGranted,
                             "the caller isn't granted this collection"));
    }
  } else {
    write.key = QueryValue(request.query, "key");
  }
  write.request_id = NextRequestId();
  write.caller = caller.name;
  write.deadline = SteadyNow() + time_left - kResponseMargin;
  event.respond = respond;
  if (!write_mailbox_->Post(std::move(event)))
    respond(Refusal(ResultCode::kRingFull, "too many requests wait"));
}

}  // namespace limpetrudder
