#include "tools/wisteriaflowctl_commands.h"

#include <array>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include "wisteriaflow/http/client.h"
#include "wisteriaflow/platform/object_api.h"

namespace wisteriaflow::tools {
namespace {

namespace asio = boost::asio;
using platform::canonical_kind;
using string_list = std::vector<std::string>;

// Clients and settings for one subcommand, with an io_context that runs until the command is done.
class command_context {
 public:
  explicit command_context(const ctl_settings& settings)
      : settings_(settings), api_(client_, settings.platform),
        commands_(api_, {.author = settings.author, .deadline = settings.deadline}),
        queries_(client_, settings.daemon)
  {
  }

  template <typename result> result await(asio::awaitable<result> task)
  {
    auto outcome = asio::co_spawn(context_, std::move(task), asio::use_future);
    context_.run();
    return outcome.get();
  }

  [[nodiscard]] const ctl_settings& settings() const { return settings_; }
  platform::operator_commands& commands() { return commands_; }
  platform::operator_queries& queries() { return queries_; }

 private:
  const ctl_settings& settings_;
  asio::io_context context_;
  http::client client_{context_};
  platform::object_api api_;
  platform::operator_commands commands_;
  platform::operator_queries queries_;
};

void require_count(const string_list& arguments, std::size_t min_count, std::size_t max_count,
                   const std::string& usage)
{
  if (arguments.size() < min_count || arguments.size() > max_count) {
    throw usage_error("usage: wisteriaflowctl " + usage);
  }
}

std::string read_file(const std::string& path)
{
  if (path.empty()) {
    throw usage_error("--file=PATH is needed; - reads standard input");
  }
  if (path == "-") {
    return {std::istreambuf_iterator<char>(std::cin), {}};
  }
  std::ifstream in(path);
  if (!in) {
    throw platform::invalid_input_error("cannot read " + path);
  }
  return {std::istreambuf_iterator<char>(in), {}};
}

void get(command_context& s, const string_list& arguments)
{
  require_count(arguments, 0, 2, "get [KIND] [NAME]");
  auto kind = arguments.empty() ? std::string() : canonical_kind(arguments[0]);
  auto name = arguments.size() < 2 ? std::string() : arguments[1];
  print_objects(s.settings().format, s.await(s.commands().get(std::move(kind), std::move(name))));
}

void apply(command_context& s, const string_list& arguments)
{
  require_count(arguments, 0, 0, "apply --file=PATH");
  auto documents = platform::parse_documents(read_file(s.settings().file));
  print_changes(s.settings().format, s.await(s.commands().apply(std::move(documents))));
}

void validate(command_context& s, const string_list& arguments)
{
  require_count(arguments, 0, 0, "validate --file=PATH");
  const auto documents = platform::parse_documents(read_file(s.settings().file));
  platform::validate_documents(documents);
  print_answer(s.settings().format, {{"valid", true}, {"objects", documents.size()}});
}

void label(command_context& s, const string_list& arguments)
{
  constexpr std::size_t max_edits = 100;
  require_count(arguments, 3, 2 + max_edits, "label KIND NAME KEY=VALUE|KEY- ...");
  platform::object_reference target{.kind = canonical_kind(arguments[0]), .name = arguments[1]};
  std::vector<platform::label_edit> edits;
  for (auto it = arguments.begin() + 2; it != arguments.end(); ++it) {
    edits.push_back(platform::parse_label_edit(*it));
  }
  const auto changed = s.await(
      s.commands().label(std::move(target), std::move(edits), s.settings().expected_revision));
  print_changes(s.settings().format, {changed});
}

void remove(command_context& s, const string_list& arguments)
{
  require_count(arguments, 2, 2, "delete KIND NAME");
  platform::object_reference target{.kind = canonical_kind(arguments[0]), .name = arguments[1]};
  const auto changed =
      s.await(s.commands().remove(std::move(target), s.settings().expected_revision));
  print_changes(s.settings().format, {changed});
}

void audit(command_context& s, const string_list& arguments)
{
  require_count(arguments, 0, 1, "audit [NAME]");
  const auto trail = s.await(s.commands().audit(arguments.empty() ? std::string() : arguments[0]));
  print_audit_trail(s.settings().format, trail);
  for (const auto& name : trail.unreadable) {
    std::cerr << "wisteriaflowctl: audit record " << name << " cannot be read\n";
  }
}

void explain(command_context& s, const string_list& arguments)
{
  require_count(arguments, 0, 0, "explain --workspace=W [--labels=K=V,...] [--model=M]");
  if (s.settings().explain.workspace.empty()) {
    throw usage_error("explain needs --workspace=W");
  }
  auto query = s.settings().explain;
  print_answer(s.settings().format,
               s.await(s.queries().explain(std::move(query), s.settings().deadline)));
}

void fleet(command_context& s, const string_list& arguments)
{
  require_count(arguments, 0, 0, "fleet");
  print_answer(s.settings().format, s.await(s.queries().fleet(s.settings().deadline)));
}

struct subcommand {
  std::string_view name;
  void (*run)(command_context&, const string_list&);
};

constexpr std::array<subcommand, 8> subcommands{{{"get", get},
                                                 {"apply", apply},
                                                 {"label", label},
                                                 {"delete", remove},
                                                 {"validate", validate},
                                                 {"audit", audit},
                                                 {"explain", explain},
                                                 {"fleet", fleet}}};

} // namespace

void run_command(const ctl_settings& settings, const string_list& arguments)
{
  if (arguments.empty()) {
    throw usage_error("a subcommand is needed\n" + std::string(command_summary()));
  }
  for (const auto& candidate : subcommands) {
    if (candidate.name == arguments[0]) {
      command_context s(settings);
      candidate.run(s, {arguments.begin() + 1, arguments.end()});
      return;
    }
  }
  throw usage_error("unknown subcommand " + arguments[0] + "\n" + std::string(command_summary()));
}

std::string_view command_summary()
{
  return R"(Subcommands:
  get [KIND] [NAME]                     declared objects
  apply --file=PATH                     create or change objects; labels add to those present
  label KIND NAME KEY=VALUE|KEY- ...    set or remove labels
  delete KIND NAME                      delete an object that nothing refers to
  validate --file=PATH                  check a whole configuration without a platform
  audit [NAME]                          the trail of changes, or of one object's
  explain --workspace=W [--labels=K=V,...] [--model=M]
                                        why a request would go where (asks a daemon)
  fleet                                 what a daemon knows of the fleet
Kinds: workspace, pool, model_version, routing_intent, service.
Exit codes: 0 done, 1 usage, 2 invalid input, 3 not found, 4 conflict, 5 platform unavailable,
6 daemon unavailable.)";
}

} // namespace wisteriaflow::tools
