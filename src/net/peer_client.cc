#include "net/peer_client.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <utility>

#include <grpcpp/grpcpp.h>

#include "net/internal/peer_codec.h"
#include "peer.grpc.pb.h"

namespace limpetrudder {
namespace {

constexpr int kMaxMessageBytes = 8 << 20;
constexpr int kMinReconnectMillis = 100;
constexpr int kMaxReconnectMillis = 1000;
constexpr int kKeepaliveMillis = 10'000;
constexpr int kKeepaliveTimeoutMillis = 2'000;
constexpr int kIdleMillis = 60'000;
constexpr std::size_t kMaxChannels = 512;

grpc::ChannelArguments MakeArguments() {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinReconnectMillis);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinReconnectMillis);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectMillis);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveMillis);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveTimeoutMillis);
  arguments.SetInt(GRPC_ARG_CLIENT_IDLE_TIMEOUT_MS, kIdleMillis);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  return arguments;
}

}  // namespace

class PeerClient::Impl {
 public:
  std::shared_ptr<wire::Peer::Stub> StubOf(const std::string& address) {
    std::lock_guard lock(mutex_);
    Channel& channel = channels_[address];
    channel.last_use = ++use_count_;
    if (!channel.stub) {
      channel.stub = wire::Peer::NewStub(grpc::CreateCustomChannel(
          "ipv4:" + address, grpc::InsecureChannelCredentials(),
          MakeArguments()));
      EvictLeastRecentlyUsed();
    }
    return channel.stub;
  }

  // Drops the connection to `address`. Running calls keep it; new calls open
  // another one.
  void DropChannel(const std::string& address,
                   const std::shared_ptr<wire::Peer::Stub>& stub) {
    std::lock_guard lock(mutex_);
    const auto found = channels_.find(address);
    if (found != channels_.end() && found->second.stub == stub)
      channels_.erase(found);
  }

  // Makes one call. `method` starts it on the stub's asynchronous interface.
  template <typename WireCall,
            typename WireReply,
            typename Reply,
            typename Method>
  void Call(const std::string& address,
            WireCall call,
            Duration timeout,
            Method method,
            Handler<Reply> handler) {
    struct State {
      grpc::ClientContext context;
      WireCall call;
      WireReply reply;
      std::shared_ptr<wire::Peer::Stub> stub;
    };
    auto state = std::make_shared<State>();
    state->call = std::move(call);
    state->stub = StubOf(address);
    state->context.set_deadline(std::chrono::system_clock::now() + timeout);
    OnCallStarted();
    method(state->stub->async(), &state->context, &state->call, &state->reply,
           [this, state, address,
            handler = std::move(handler)](grpc::Status status) {
             if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED)
               DropChannel(address, state->stub);
             if (status.ok())
               handler(detail::FromWire(state->reply));
             else
               handler(std::nullopt);
             OnCallEnded();
           });
  }

  void Stop() {
    std::unique_lock lock(mutex_);
    call_ended_.wait(lock, [this] { return running_calls_ == 0; });
  }

 private:
  struct Channel {
    std::shared_ptr<wire::Peer::Stub> stub;
    std::uint64_t last_use = 0;
  };

  // Bounds the number of cached channels. Replaced instances get new addresses,
  // so channels to the old addresses would accumulate.
  void EvictLeastRecentlyUsed() {
    if (channels_.size() <= kMaxChannels)
      return;
    channels_.erase(std::min_element(
        channels_.begin(), channels_.end(), [](const auto& a, const auto& b) {
          return a.second.last_use < b.second.last_use;
        }));
  }

  void OnCallStarted() {
    std::lock_guard lock(mutex_);
    ++running_calls_;
  }

  void OnCallEnded() {
    std::lock_guard lock(mutex_);
    --running_calls_;
    call_ended_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable call_ended_;
  std::size_t running_calls_ = 0;
  std::map<std::string, Channel> channels_;  // By address.
  std::uint64_t use_count_ = 0;
};

PeerClient::PeerClient() : impl_(std::make_unique<Impl>()) {}

PeerClient::~PeerClient() {
  Stop();
}

void PeerClient::Stop() {
  impl_->Stop();
}

void PeerClient::Search(const std::string& address,
                        const PeerSearch& search,
                        Time now,
                        Handler<PeerSearchReply> handler) {
  impl_->Call<wire::SearchCall, wire::SearchReply, PeerSearchReply>(
      address, detail::ToWire(search, now), search.request.deadline - now,
      [](auto* async, auto* context, auto* call, auto* reply, auto done) {
        async->Search(context, call, reply, std::move(done));
      },
      std::move(handler));
}

void PeerClient::Shards(const std::string& address,
                        const PeerSearch& search,
                        Time now,
                        Handler<PeerShardsReply> handler) {
  impl_->Call<wire::SearchCall, wire::ShardsReply, PeerShardsReply>(
      address, detail::ToWire(search, now), search.request.deadline - now,
      [](auto* async, auto* context, auto* call, auto* reply, auto done) {
        async->Shards(context, call, reply, std::move(done));
      },
      std::move(handler));
}

void PeerClient::Write(const std::string& address,
                       const PeerWrite& write,
                       Time now,
                       Handler<PeerWriteReply> handler) {
  impl_->Call<wire::WriteCall, wire::WriteReply, PeerWriteReply>(
      address, detail::ToWire(write, now), write.request.deadline - now,
      [](auto* async, auto* context, auto* call, auto* reply, auto done) {
        async->Write(context, call, reply, std::move(done));
      },
      std::move(handler));
}

void PeerClient::Probe(const std::string& address,
                       const PeerProbe& probe,
                       Duration timeout,
                       Handler<PeerProbeReply> handler) {
  impl_->Call<wire::ProbeCall, wire::ProbeReply, PeerProbeReply>(
      address, detail::ToWire(probe), timeout,
      [](auto* async, auto* context, auto* call, auto* reply, auto done) {
        async->Probe(context, call, reply, std::move(done));
      },
      std::move(handler));
}

void PeerClient::Pull(const std::string& address,
                      const PeerPull& pull,
                      Duration timeout,
                      Handler<PeerPullReply> handler) {
  impl_->Call<wire::PullCall, wire::PullReply, PeerPullReply>(
      address, detail::ToWire(pull), timeout,
      [](auto* async, auto* context, auto* call, auto* reply, auto done) {
        async->Pull(context, call, reply, std::move(done));
      },
      std::move(handler));
}

}  // namespace limpetrudder
