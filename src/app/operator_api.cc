#include "app/operator_api.h"

#include <utility>

#include "app/internal/console_page.h"
#include "app/internal/json_api.h"
#include "config/document.h"
#include "framework/clock.h"
#include "framework/hash.h"
#include "framework/http_status.h"
#include "framework/json_schema.h"
#include "query/answer_json.h"

namespace limpetrudder {
namespace {

constexpr std::string_view kSubmitSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["change_id", "base_revision", "author", "reason", "document"],
  "properties": {
    "change_id": {"type": "string", "minLength": 1, "maxLength": 64},
    "base_revision": {"type": "integer", "minimum": 0},
    "author": {"type": "string", "minLength": 1, "maxLength": 64},
    "reason": {"type": "string", "minLength": 1, "maxLength": 200},
    "document": {"type": "object"}
  }
})json";

}  // namespace

std::string WriteFaults(const std::vector<Error>& faults) {
  nlohmann::ordered_json body;
  body["code"] =
      WriteCode(faults.empty() ? ResultCode::kOk : faults.front().code);
  body["accepted"] = faults.empty();
  body["faults"] = nlohmann::ordered_json::array();
  for (const auto& fault : faults) {
    body["faults"].push_back({{"code", WriteCode(fault.code)},
                              {"pointer", fault.pointer},
                              {"message", fault.message}});
  }
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

OperatorApi::OperatorApi(std::string token_sha256,
                         InstanceState* instance_state,
                         SearchDuty::Mailbox* search,
                         ControlDuty::Mailbox* control)
    : token_sha256_(std::move(token_sha256)),
      instance_state_(instance_state),
      search_mailbox_(search),
      control_mailbox_(control) {}

template <typename Event, typename Mailbox>
void OperatorApi::PostOrRefuse(Mailbox* mailbox, Event event) {
  const Responder respond = event.respond;
  if (!mailbox->Post(std::move(event)))
    respond(Refusal(ResultCode::kRingFull, "too many requests wait"));
}

void OperatorApi::OnRequest(ServerRequest request, Responder respond) {
  if (request.method == "GET" && request.path == "/")
    return respond({http_status::kOk, std::string(ConsolePage()), "text/html"});
  if (Sha256Hex(request.bearer_token) != token_sha256_) {
    return respond(
        Refusal(ResultCode::kNotAuthorised, "the bearer token isn't known"));
  }
  const std::string route = request.method + " " + request.path;
  if (route == "GET /v1/status")
    return PostOrRefuse(control_mailbox_, StatusRequest{std::move(respond)});
  if (route == "GET /v1/servers")
    return PostOrRefuse(search_mailbox_, ServersRequest{std::move(respond)});
  if (route == "GET /v1/metrics")
    return respond(
        {http_status::kOk, instance_state_->metrics().Snapshot().dump()});
  if (route == "GET /v1/explain") {
    return PostOrRefuse(search_mailbox_,
                        ExplainRequest{QueryValue(request.query, "request_id"),
                                       std::move(respond)});
  }
  if (route == "GET /v1/config")
    return PostOrRefuse(control_mailbox_, DocumentRequest{std::move(respond)});
  if (route == "GET /v1/config/history")
    return PostOrRefuse(control_mailbox_, HistoryRequest{std::move(respond)});
  if (route == "POST /v1/config")
    return OnSubmit(request, std::move(respond));
  if (route == "POST /v1/config/check")
    return OnCheck(request, respond);
  respond(Refusal(ResultCode::kNoSuchPath, "no such path or method"));
}

void OperatorApi::OnCheck(const ServerRequest& request,
                          const Responder& respond) {
  const auto json = ParseJson(request.body);
  if (!json)
    return respond({http_status::kBadRequest, WriteFaults({json.error()})});
  const auto faults = CheckDocument(json.assume_value());
  respond({faults.empty() ? http_status::kOk : http_status::kBadRequest,
           WriteFaults(faults)});
}

void OperatorApi::OnSubmit(const ServerRequest& request, Responder respond) {
  static const JsonSchema schema(kSubmitSchema);
  const auto json = ParseJson(request.body);
  if (!json)
    return respond({http_status::kBadRequest, WriteFaults({json.error()})});
  const Json& body = json.assume_value();
  auto faults = schema.Check(body);
  if (faults.empty())
    faults = CheckDocument(body.at("document"));
  if (!faults.empty())
    return respond({http_status::kBadRequest, WriteFaults(faults)});
  auto split = SplitIntoParts(body.at("document"));
  if (!split)
    return respond({http_status::kBadRequest, WriteFaults({split.error()})});
  SubmitChange event;
  event.change.change_id = body.at("change_id");
  event.change.base_revision = body.at("base_revision");
  event.change.author = body.at("author");
  event.change.reason = body.at("reason");
  event.change.submitted_at = UtcNow();
  event.change.document = std::move(split.assume_value());
  event.respond = std::move(respond);
  PostOrRefuse(control_mailbox_, std::move(event));
}

}  // namespace limpetrudder
