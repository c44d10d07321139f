// A small deployment: the store, the platform's API and some daemons.

#ifndef WISTERIAFLOW_REVIEW_STANDINS_2_DEPLOYMENT_HPP_
#define WISTERIAFLOW_REVIEW_STANDINS_2_DEPLOYMENT_HPP_

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "harness.hpp"
#include "runners.hpp"

namespace review {

struct deployment {
  deployment(recorder& r, int daemon_count) : record(r)
  {
    std::string seeds;
    for (int i = 0; i < daemon_count; ++i) {
      const std::string zone(1, static_cast<char>('a' + i));
      daemons.push_back(std::make_unique<front_daemon>("front-" + zone, zone, folder.path(),
                                                       registry.address(), cloud.address(),
                                                       usual_bounds()));
      seeds += (seeds.empty() ? "" : ",") + daemons.back()->control();
    }
    for (auto& d : daemons) {
      d->set_seeds(seeds);
    }
  }

  // Starts the daemons and waits until all have been ready and in touch for 3 s. The store must
  // hold a configuration.
  bool start()
  {
    for (auto& d : daemons) {
      d->start();
    }
    for (auto& d : daemons) {
      if (!d->await_ready(now_s() + 20)) {
        record.line(d->name() + " does not become ready: " + d->last_log_lines());
        return false;
      }
    }
    std::this_thread::sleep_for(ms(3000));
    return true;
  }

  // Ends the daemons and removes their files.
  void end()
  {
    daemons.clear();
    std::error_code ec;
    std::filesystem::remove_all(folder.path(), ec);
  }

  recorder& record;
  temporary_folder folder;
  store registry;
  arrivals arrived;
  server cloud{[](const message&, stream& to) { return to.write(response_bytes(200, "{}")); }};
  std::vector<std::unique_ptr<front_daemon>> daemons;
};

// What a configuration of the cases has in common.
inline json::value configuration(std::uint64_t version, json::object route, json::object service,
                                 json::object tenant)
{
  return {{"version", version},
          {"routes", json::array{std::move(route)}},
          {"services", json::array{std::move(service)}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"tenants", json::array{std::move(tenant)}}};
}

// Runs a case with the arguments RECORD and TROUBLE, and ends the program.
[[noreturn]] inline void run_case(int argc, char** argv,
                                  const std::function<int(recorder&, bool)>& body)
{
  int code = 2;
  if (argc == 3) {
    try {
      recorder record(argv[1]);
      code = body(record, std::string(argv[2]) != "0");
    } catch (const std::exception& e) {
      std::cerr << e.what() << '\n';
    }
  }
  std::cout << (code == 1 ? "broken" : code == 0 ? "held" : "could not run") << std::endl;
  std::_Exit(code); // threads of connections may still run
}

} // namespace review

#endif // WISTERIAFLOW_REVIEW_STANDINS_2_DEPLOYMENT_HPP_
