#include "net/peer_server.h"

#include <utility>

#include <grpcpp/grpcpp.h>

#include "framework/clock.h"
#include "net/internal/peer_codec.h"
#include "peer.grpc.pb.h"

namespace limpetrudder {
namespace {

constexpr int kMaxMessageBytes = 8 << 20;
constexpr int kMinPingIntervalMillis = 5'000;

class CallService : public wire::Peer::CallbackService {
 public:
  explicit CallService(PeerHandlers handlers)
      : handlers_(std::move(handlers)) {}

  grpc::ServerUnaryReactor* Search(grpc::CallbackServerContext* context,
                                   const wire::SearchCall* call,
                                   wire::SearchReply* reply) override {
    auto* reactor = context->DefaultReactor();
    handlers_.search(detail::FromWire(*call, SteadyNow()),
                     MakeReplier<PeerSearchReply>(reactor, reply));
    return reactor;
  }

  grpc::ServerUnaryReactor* Shards(grpc::CallbackServerContext* context,
                                   const wire::SearchCall* call,
                                   wire::ShardsReply* reply) override {
    auto* reactor = context->DefaultReactor();
    handlers_.shards(detail::FromWire(*call, SteadyNow()),
                     MakeReplier<PeerShardsReply>(reactor, reply));
    return reactor;
  }

  grpc::ServerUnaryReactor* Write(grpc::CallbackServerContext* context,
                                  const wire::WriteCall* call,
                                  wire::WriteReply* reply) override {
    auto* reactor = context->DefaultReactor();
    handlers_.write(detail::FromWire(*call, SteadyNow()),
                    MakeReplier<PeerWriteReply>(reactor, reply));
    return reactor;
  }

  grpc::ServerUnaryReactor* Probe(grpc::CallbackServerContext* context,
                                  const wire::ProbeCall* call,
                                  wire::ProbeReply* reply) override {
    auto* reactor = context->DefaultReactor();
    handlers_.probe(detail::FromWire(*call),
                    MakeReplier<PeerProbeReply>(reactor, reply));
    return reactor;
  }

  grpc::ServerUnaryReactor* Pull(grpc::CallbackServerContext* context,
                                 const wire::PullCall* call,
                                 wire::PullReply* reply) override {
    auto* reactor = context->DefaultReactor();
    handlers_.pull(detail::FromWire(*call),
                   MakeReplier<PeerPullReply>(reactor, reply));
    return reactor;
  }

 private:
  template <typename Reply, typename WireReply>
  static std::function<void(Reply)> MakeReplier(
      grpc::ServerUnaryReactor* reactor,
      WireReply* out) {
    return [reactor, out](const Reply& reply) {
      *out = detail::ToWire(reply);
      reactor->Finish(grpc::Status::OK);
    };
  }

  const PeerHandlers handlers_;
};

}  // namespace

class PeerServer::Impl {
 public:
  Impl(std::string address, PeerHandlers handlers)
      : address_(std::move(address)), service_(std::move(handlers)) {}

  Result<void> Start() {
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address_, grpc::InsecureServerCredentials(),
                             &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(
        GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
        kMinPingIntervalMillis);
    builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
    builder.RegisterService(&service_);
    server_ = builder.BuildAndStart();
    if (!server_ || port == 0) {
      return Failure(ResultCode::kStartFailed,
                     "can't listen for peers on " + address_);
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  void Stop(Duration timeout) {
    if (!server_)
      return;
    server_->Shutdown(std::chrono::system_clock::now() + timeout);
    server_->Wait();
    server_.reset();
  }

 private:
  const std::string address_;
  CallService service_;
  std::unique_ptr<grpc::Server> server_;
};

PeerServer::PeerServer(std::string address, PeerHandlers handlers)
    : impl_(std::make_unique<Impl>(std::move(address), std::move(handlers))) {}

PeerServer::~PeerServer() {
  Stop(Duration(0));
}

Result<void> PeerServer::Start() {
  return impl_->Start();
}

void PeerServer::Stop(Duration timeout) {
  impl_->Stop(timeout);
}

}  // namespace limpetrudder
