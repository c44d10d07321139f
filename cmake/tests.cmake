# Tests, fakes and benchmarks. Each package has one test program: test/<package>/*_test.cc.
enable_testing()
include(GoogleTest)

# Fakes of external systems: one library, and a program for each *_main.cc.
file(GLOB fake_sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/test/fakes/*.cc)
list(FILTER fake_sources EXCLUDE REGEX "_main\\.cc$")
if(fake_sources)
  add_library(wisteriaflow_fakes STATIC ${fake_sources})
  target_include_directories(wisteriaflow_fakes PUBLIC test)
  target_link_libraries(wisteriaflow_fakes PUBLIC wisteriaflow_http)
  file(GLOB fake_mains CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/test/fakes/*_main.cc)
  foreach(main ${fake_mains})
    get_filename_component(name ${main} NAME_WE)
    string(REPLACE "_main" "" name ${name})
    add_executable(${name} ${main})
    target_link_libraries(${name} PRIVATE wisteriaflow_fakes absl::flags absl::flags_parse)
  endforeach()
endif()

file(GLOB test_packages LIST_DIRECTORIES true CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/test/*)
foreach(package_dir ${test_packages})
  get_filename_component(package ${package_dir} NAME)
  file(GLOB tests CONFIGURE_DEPENDS ${package_dir}/*_test.cc)
  if(NOT tests)
    continue()
  endif()
  file(GLOB helpers CONFIGURE_DEPENDS ${package_dir}/*.cc)
  list(FILTER helpers EXCLUDE REGEX "_main\\.cc$")
  if(package MATCHES "^(fakes|gateway_system)$")
    set(helpers ${tests}) # the other sources are in a library
  endif()
  add_executable(${package}_test ${helpers})
  target_include_directories(${package}_test PRIVATE test src)
  if(package MATCHES "^(base|objects|requests|claims|membership|routing|admission|capacity|load|core|gateway)$")
    target_link_libraries(${package}_test PRIVATE wisteriaflow_core)
  elseif(package MATCHES "^(http|fakes)$")
    target_link_libraries(${package}_test PRIVATE wisteriaflow_fakes)
  elseif(package STREQUAL "gateway_system")
    target_link_libraries(${package}_test PRIVATE wisteriaflow_gateway_fleet)
  elseif(package MATCHES "^(adapter|relay)$")
    target_link_libraries(${package}_test PRIVATE wisteriaflow_relay wisteriaflow_fakes)
  else()
    target_link_libraries(${package}_test PRIVATE wisteriaflow_daemon wisteriaflow_fakes)
    target_compile_definitions(${package}_test PRIVATE
                               WISTERIAFLOW_BINARY_DIR="${CMAKE_BINARY_DIR}")
    foreach(program wisteriaflowd wisteriaflowctl fake_object_api fake_cloud_api
                    fake_model_engine fake_plain_service)
      if(TARGET ${program})
        add_dependencies(${package}_test ${program})
      endif()
    endforeach()
  endif()
  target_link_libraries(${package}_test PRIVATE GTest::gtest GTest::gtest_main rapidcheck)
  # Each system test starts a fleet, so only two of them run at a time on six processors.
  set(processors 1)
  if(package STREQUAL "system")
    set(processors 3)
  endif()
  gtest_discover_tests(${package}_test DISCOVERY_TIMEOUT 60
                       PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261202" TIMEOUT 300
                                  PROCESSORS ${processors})
endforeach()

# The soak test runs a fleet under random faults; scripts/soak.sh starts it.
if(EXISTS ${CMAKE_SOURCE_DIR}/test/system/soak_main.cc)
  file(GLOB soak_sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/test/system/*.cc)
  list(FILTER soak_sources EXCLUDE REGEX "_test\\.cc$")
  add_executable(soak ${soak_sources})
  target_include_directories(soak PRIVATE test src)
  target_link_libraries(soak PRIVATE wisteriaflow_fakes absl::flags absl::flags_parse)
  target_compile_definitions(soak PRIVATE WISTERIAFLOW_BINARY_DIR="${CMAKE_BINARY_DIR}")
  add_dependencies(soak wisteriaflowd fake_object_api fake_cloud_api fake_model_engine
                   fake_plain_service)
endif()

# Soak test of gateway daemons. A short run with a fixed seed is part of the test suite.
set(gateway_fleet_sources test/system/process.cc)
foreach(part counting_endpoint drain_run gateway_fleet held_stream overload_run recovery_run
             restart_run soak_endpoint_terms)
  list(APPEND gateway_fleet_sources test/gateway_system/${part}.cc)
endforeach()
add_library(wisteriaflow_gateway_fleet STATIC ${gateway_fleet_sources})
target_include_directories(wisteriaflow_gateway_fleet PUBLIC test)
target_link_libraries(wisteriaflow_gateway_fleet PUBLIC wisteriaflow_fakes)
target_compile_definitions(wisteriaflow_gateway_fleet PRIVATE
                           WISTERIAFLOW_BINARY_DIR="${CMAKE_BINARY_DIR}")
add_dependencies(wisteriaflow_gateway_fleet wisteriaflow-gatewayd)
set(gateway_soak_sources test/gateway_system/gateway_soak_main.cc)
foreach(part soak_calls soak_daemon_faults soak_endpoint_faults soak_network_faults
        soak_power_loss soak_resumes soak_run)
  list(APPEND gateway_soak_sources test/gateway_system/${part}.cc)
endforeach()
add_executable(gateway_soak ${gateway_soak_sources})
target_include_directories(gateway_soak PRIVATE test)
target_link_libraries(gateway_soak PRIVATE wisteriaflow_gateway_fleet absl::flags
                      absl::flags_parse)
add_test(NAME GatewaySoak.KeepsEveryPromise COMMAND gateway_soak --minutes=0.2 --seed=1)
set_tests_properties(GatewaySoak.KeepsEveryPromise PROPERTIES TIMEOUT 300 PROCESSORS 3)

# A fleet under more load than its endpoints have room for, run by hand.
add_executable(gateway_overload test/gateway_system/gateway_overload_main.cc)
target_link_libraries(gateway_overload PRIVATE wisteriaflow_gateway_fleet absl::flags
                      absl::flags_parse)

# Daemons that receive SIGTERM while callers use them, run by hand.
add_executable(gateway_drain test/gateway_system/gateway_drain_main.cc)
target_link_libraries(gateway_drain PRIVATE wisteriaflow_gateway_fleet absl::flags
                      absl::flags_parse)

# Daemons that are all killed around a change of version while callers hold streams, run by hand.
add_executable(gateway_restart test/gateway_system/gateway_restart_main.cc)
target_link_libraries(gateway_restart PRIVATE wisteriaflow_gateway_fleet absl::flags
                      absl::flags_parse)

# Daemons that are all killed beside odd entries in the store, run by hand.
add_executable(gateway_recovery test/gateway_system/gateway_recovery_main.cc)
target_link_libraries(gateway_recovery PRIVATE wisteriaflow_gateway_fleet absl::flags
                      absl::flags_parse)

# Benchmarks are built with everything else and run manually or by the scripts bench/run-*.sh.
file(GLOB benches CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/bench/*_bench.cc)
foreach(bench ${benches})
  get_filename_component(name ${bench} NAME_WE)
  file(GLOB bench_parts CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/bench/${name}_*.cc)
  add_executable(${name} ${bench} ${bench_parts})
  target_include_directories(${name} PRIVATE bench src test)
  target_link_libraries(${name} PRIVATE wisteriaflow_daemon wisteriaflow_relay
                        wisteriaflow_gateway_fleet benchmark::benchmark
                        absl::flags absl::flags_parse)
endforeach()
# It replays the simulated fleet of the tests.
target_link_libraries(fleet_replay_bench PRIVATE GTest::gtest)

# Samples, numbered from simple to complete.
file(GLOB samples CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/samples/*.cc)
foreach(sample ${samples})
  get_filename_component(name ${sample} NAME_WE)
  add_executable(${name} ${sample})
  target_link_libraries(${name} PRIVATE wisteriaflow_core)
endforeach()
