#!/usr/bin/env python3
# Prints a scenario of N faults drawn at random from all kinds:
#   scripts/make-day.py SEED N > day.toml
import random,sys
random.seed(int(sys.argv[1]))
kinds=[
 '{ kind = "srv_cut", share = 0.3, for_s = 5.0, at = %s }','{ kind = "srv_cut", share = 0.3, for_s = 5.0, how = "one_way", at = %s }','{ kind = "srv_cut", share = 0.3, for_s = 4.0, how = "reset", at = %s }',
 '{ kind = "srv_cut", share = 0.4, x = 0.4, for_s = 4.0, how = "fronts", at = %s }','{ kind = "srv_cut", share = 0.4, x = 0.4, for_s = 4.0, how = "some lossy", at = %s }',
 '{ kind = "replace_with_reuse", share = 0.2, at = %s }','{ kind = "replace_with_reuse", share = 0.2, how = "drain", at = %s }','{ kind = "replace_with_reuse", share = 0.2, how = "dark", at = %s }',
 '{ kind = "node_freeze", share = 0.3, for_s = 4.0, at = %s }','{ kind = "node_freeze", how = "renewed", for_s = 5.0, at = %s }','{ kind = "node_freeze", how = "leader", for_s = 6.0, at = %s }',
 '{ kind = "node_slow", share = 0.3, x = 5.0, for_s = 4.0, at = %s }',
 '{ kind = "after_ack_kill", at = %s }','{ kind = "after_ack_kill", how = "kill", count = 2, at = %s }','{ kind = "after_ack_kill", how = "timed", at = %s }','{ kind = "after_ack_kill", how = "taken", at = %s }',
 '{ kind = "hup", share = 0.6, gap_s = 2.0, at = %s }','{ kind = "cloud_down", how = "silent", for_s = 6.0, at = %s }','{ kind = "cloud_down", how = "busy", for_s = 5.0, at = %s }','{ kind = "cloud_down", how = "reset", for_s = 5.0, at = %s }','{ kind = "cloud_slow", x = 60.0, for_s = 6.0, at = %s }',
 '{ kind = "core_cut", how = "leader", count = 1, for_s = 6.0, at = %s }','{ kind = "clock_step", share = 0.3, x = 4000.0, for_s = 6.0, how = "back", at = %s }','{ kind = "kill_leader", how = "freeze", for_s = 5.0, at = %s }','{ kind = "kill_leader", how = "cut", for_s = 5.0, at = %s }',
 '{ kind = "garble", share = 0.6, x = 0.1, how = "early", for_s = 6.0, at = %s }','{ kind = "garble", share = 0.6, x = 0.1, how = "unframed", for_s = 6.0, at = %s }','{ kind = "garble", share = 0.8, x = 0.1, how = "extra", for_s = 6.0, at = %s }','{ kind = "garble", share = 0.8, x = 0.1, for_s = 6.0, at = %s }',
 '{ kind = "srv_grey", share = 0.4, x = 0.5, how = "hang", for_s = 6.0, at = %s }','{ kind = "srv_grey", share = 0.4, x = 0.5, how = "reset", for_s = 6.0, at = %s }','{ kind = "srv_grey", share = 0.4, x = 0.5, how = "shed", for_s = 6.0, at = %s }','{ kind = "srv_grey", share = 0.4, x = 0.5, how = "busy", for_s = 6.0, at = %s }','{ kind = "srv_grey", share = 0.4, how = "slow", x = 8.0, for_s = 6.0, at = %s }',
 '{ kind = "hot_tenant", x = 8.0, for_s = 10.0, at = %s }','{ kind = "platform_lost", x = 0.4, for_s = 6.0, how = "late", at = %s }','{ kind = "platform_down", for_s = 6.0, how = "silent lapse", at = %s }','{ kind = "platform_slow", x = 60.0, for_s = 6.0, at = %s }','{ kind = "node_cut", how = "all", share = 0.2, for_s = 6.0, at = %s }','{ kind = "node_cut", how = "servers", share = 0.3, for_s = 6.0, at = %s }',
 '{ kind = "release", share = 0.6, gap_s = 0.7, at = %s }','{ kind = "roll_term", share = 1.0, gap_s = 2.0, how = "busy", at = %s }','{ kind = "config_storm", for_s = 5.0, gap_s = 0.2, at = %s }','{ kind = "config_change", how = "quota down", at = %s }','{ kind = "retry_abuse", x = 4.0, share = 0.5, for_s = 6.0, at = %s }','{ kind = "burst", x = 2.5, for_s = 6.0, at = %s }','{ kind = "give_up", share = 0.5, for_s = 6.0, at = %s }','{ kind = "reset_conns", share = 0.5, x = 0.7, at = %s }','{ kind = "lossy", x = 0.05, for_s = 8.0, at = %s }',
]
n=int(sys.argv[2])
closings=['closing = { kind = "power_off_all", down_s = 1.5 }','closing = { kind = "kill_all", down_s = 0.5 }','']
print('[[day]]\nname = "odd-%s"\nslot = "trouble"\nseed = %d\none = 0.4\nzero = -0.2\ngoal = { floor = 0.2 }'%(sys.argv[1],random.randrange(10**9)))
c=random.choice(closings)
if c: print(c)
print('plan = []\nfaults = [')
for k in random.sample(kinds,n): print('  '+k%round(random.uniform(0.5,40),2)+',')
print(']')
