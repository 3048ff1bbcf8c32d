#include "rwf/key_command.h"

#include <fmt/format.h>

#include <algorithm>
#include <ostream>

#include "base/digest.h"
#include "rwf/config_change.h"
#include "rwf/table.h"

namespace rwf {
namespace {

Workspace* FindWorkspace(Config* config, const std::string& name) {
  const auto it =
      std::find_if(config->workspaces.begin(), config->workspaces.end(),
                   [&](const Workspace& w) { return w.name == name; });
  return it == config->workspaces.end() ? nullptr : &*it;
}

// Computes the digest of the key in --key-file, or parses the digest argument.
Result<Digest> ReadDigest(const Input& input) {
  Digest digest;
  if (input.flags.count("key-file") > 0) {
    auto key = ReadFile(input.StringFlag("key-file"));
    if (!key) return tl::unexpected<Error>(key.error());
    key->erase(key->find_last_not_of(" \t\r\n") + 1);
    return Sha256(*key);
  }
  if (input.arguments.size() == 2 && FromHex(input.arguments[1], &digest))
    return digest;
  return Fail(std::make_error_code(std::errc::invalid_argument),
              "expected a digest of 64 hexadecimal characters or --key-file");
}

}  // namespace

KeyCommand::KeyCommand()
    : Command("key", "add WORKSPACE|withdraw DIGEST|list",
              "Add, withdraw and list keys") {}

void KeyCommand::AddFlags(cxxopts::OptionAdder* flags) {
  AddEndpointFlags(flags);
  (*flags)("key-file",
           "File with the key to add or withdraw; without it, add generates "
           "a key",
           cxxopts::value<std::string>());
}

int KeyCommand::Execute(const Input& input, Environment* environment) {
  const std::string action = input.arguments.empty() ? "" : input.arguments[0];
  const size_t n = input.arguments.size();
  if (action == "add" && n == 2) return Add(input, environment);
  if (action == "withdraw" && n <= 2) return Withdraw(input, environment);
  if (action == "list" && n == 1) return List(input, environment);
  return ReportUsageError("expected add WORKSPACE, withdraw DIGEST or list",
                          environment);
}

int KeyCommand::Add(const Input& input, Environment* environment) {
  const std::string& name = input.arguments[1];
  const bool is_new = input.flags.count("key-file") == 0;
  const std::string key = is_new ? environment->make_key() : "";
  const auto digest = is_new ? Result<Digest>(Sha256(key)) : ReadDigest(input);
  if (!digest) return ReportError(digest.error(), environment);
  const auto endpoint = Connect(input, environment);
  if (endpoint == nullptr) return kBadInput;
  const ChangeRequest request{
      input.StringFlag("who"),
      fmt::format("key add {} {}", name, ToHex(*digest)), false,
      input.WantsJson()};
  const int status = EditConfig(
      endpoint.get(), request,
      [&](Config* config) -> int {
        Workspace* workspace = FindWorkspace(config, name);
        if (workspace == nullptr) {
          environment->err << fmt::format("rwf: unknown workspace {}\n", name);
          return kBadInput;
        }
        const auto& withdrawn = config->withdrawn_keys;
        if (std::find(withdrawn.begin(), withdrawn.end(), *digest) !=
            withdrawn.end()) {
          environment->err << "rwf: the key was withdrawn; a withdrawal cannot "
                              "be reverted\n";
          return kRefused;
        }
        workspace->keys.push_back(*digest);
        return kDone;
      },
      environment);
  // If the outcome is unknown, the key may be valid and is printed as well.
  if (is_new && (status == kDone || status == kUnknown)) {
    environment->out << (input.WantsJson()
                             ? Json{{"workspace", name}, {"key", key}}.dump()
                             : fmt::format("key (shown once): {}", key))
                     << '\n';
  }
  return status;
}

int KeyCommand::Withdraw(const Input& input, Environment* environment) const {
  const auto digest = ReadDigest(input);
  if (!digest) return ReportUsageError(digest.error().message, environment);
  const auto endpoint = Connect(input, environment);
  if (endpoint == nullptr) return kBadInput;
  // Withdrawals only add to a set, so repeating one is safe.
  const auto response = endpoint->Post("/v1/keys/withdraw",
                                       {{"digest", ToHex(*digest)},
                                        {"who", input.StringFlag("who")},
                                        {"operation_id", MakeOperationId()}});
  if (!response) {
    const int status = ReportError(response.error(), environment);
    if (status == kUnknown)
      environment->err << "The key may still be valid. Repeat the command, if "
                          "necessary with another endpoint.\n";
    return status;
  }
  if (!response->contains("vms") || !response->at("vms").is_array())
    return ReportError({EndpointErrc::kFailed, "the response has no vms"},
                       environment);
  std::vector<std::string> unconfirmed;
  Table table({"VM", "ZONE", "CONFIRMED"});
  for (const Json& it : response->at("vms")) {
    const bool confirmed = CellText(it, "confirmed") == "true";
    if (!confirmed) unconfirmed.push_back(CellText(it, "id"));
    table.AddRow(
        {CellText(it, "id"), CellText(it, "zone"), confirmed ? "yes" : "NO"});
  }
  if (input.WantsJson())
    environment->out << response->dump() << '\n';
  else
    table.Print(environment->out);
  if (unconfirmed.empty()) return kDone;
  environment->err << fmt::format(
      "rwf: not confirmed by {}. The key is still accepted there until the VM "
      "receives the withdrawal or the key staleness limit expires. Repeat the "
      "command to check again.\n",
      fmt::join(unconfirmed, ", "));
  return kUnknown;
}

int KeyCommand::List(const Input& input, Environment* environment) {
  const auto endpoint = Connect(input, environment);
  if (endpoint == nullptr) return kBadInput;
  const auto current = FetchCurrentConfig(endpoint.get());
  if (!current) return ReportError(current.error(), environment);
  const Config config =
      current->config == nullptr ? Config{} : *current->config;
  Json list = Json::array();
  Table table({"WORKSPACE", "DIGEST", "STATE"});
  for (const Workspace& workspace : config.workspaces) {
    for (const Digest& it : workspace.keys) {
      const auto& withdrawn = config.withdrawn_keys;
      const char* state =
          std::find(withdrawn.begin(), withdrawn.end(), it) == withdrawn.end()
              ? "in force"
              : "withdrawn";
      table.AddRow({workspace.name, ToHex(it), state});
      list.push_back({{"workspace", workspace.name},
                      {"digest", ToHex(it)},
                      {"state", state}});
    }
  }
  if (input.WantsJson())
    environment->out << list.dump() << '\n';
  else
    table.Print(environment->out);
  return kDone;
}

}  // namespace rwf
