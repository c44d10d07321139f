// Guards against calls to endpoints that had said more than their notice ago that they leave, on a
// day on which nothing was wrong.
//
// The leader had replaced most endpoints at once. Daemons learned of departures only together with
// the descriptions of the new endpoints: the coordinators' links and then the store's were full of
// these, the answers took longer than daemons wait, and all asked for them again, whole.

#include "relay/congested_fleet.h"

namespace wisteriaflow::relay {
namespace {

class DeparturesBehindBulkTest : public congested_fleet {
 protected:
  // Links and answers of a fleet of 986 daemons in which 2,400 endpoints are replaced, each reduced
  // to the size of this one.
  static constexpr congested_fleet_options options{.daemons = 130,
                                                   .endpoints = 600,
                                                   .daemon_bytes_per_second = 6e5,
                                                   .store_bytes_per_second = 4e6};

  void replace_endpoints()
  {
    start_fleet(options);
    run_for(8s);
    leave(300);
    run_for(2s);
    register_endpoints(600, 2'500us);
    for (int i = 0; i < 4; ++i) {
      run_for(1s);
      leave(30);
    }
    run_for(notice + 1s);
  }
};

TEST_F(DeparturesBehindBulkTest, NoDaemonUsesAnEndpointAfterItsNoticeWhileMostAreReplaced)
{
  replace_endpoints();
  EXPECT_EQ(late_pairs(), 0U);
}

} // namespace
} // namespace wisteriaflow::relay
