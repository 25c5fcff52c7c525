// Package bench runs scenarios against a fleet on loopback in one process, with
// real TCP and real time, and measures what callers and servers saw.
//
// Load is open loop: arrivals are drawn beforehand from the seed and do not wait for
// answers. Latency counts from the intended start. Callers' latency to the fleet is
// added in the books only: each latency in a report is what was measured plus twice
// Topology.ToClients. Latency between VMs and from VMs to servers is real: the bytes
// pass through package faultproxy.
//
// Measures are computed as follows.
//
//   - Invariants compare the callers' ledger with the servers' ledgers, over the whole
//     run. run_twice counts requests that are not idempotent and ran more than once.
//     not_run_but_ran counts requests that were told not-run and are in a ledger.
//     wrong_answer_passed counts answers with a success status whose body is not the
//     one that the request's method, address and body lead to. requests_cut counts
//     connections that ended without a whole answer, except at VMs that the scenario
//     killed.
//   - floor_violations counts samples, taken every 20 ms, in which the listed live
//     servers of a service without the union of all VMs' obeyed ejections are fewer
//     than the floor.
//   - Detection is the time from a fault's start to the start of the last ordinary
//     request that a server ran under that fault, from the server's ledger. A run is on
//     trial when the entry VM's decision said so; decisions and runs are matched by VM,
//     server, route and order. A server that still gets ordinary requests in the last
//     second of its fault counts as not detected, and detection is the whole fault.
//     Servers that got fewer than 10 requests/s before are left out.
//   - A flapping server's held_out_share is the share of samples between the fault's
//     start and end, beginning 5 s after its start, in which some VM obeys an ejection.
//   - leaving_last_ms is the time from a server's listing as leaving to the start of its
//     last run. The server itself declines work only 4 s after the listing.
//   - false_ejections counts ejections of servers without a fault of their own, from
//     the journals of all VMs. Ejections of one server within 5 s count once. A fault of
//     all servers of a service, of a route, of a zone or of a link is not a server's own.
//   - weight_served_ratio is the weight answered correctly and once over a fluid bound,
//     for requests that arrive within the peak, or after the warm-up when the scenario
//     names no peak. The bound treats a service's slots as one divisible resource in
//     buckets of one second, from the arrival to the deadline of each request, with the
//     work times drawn for the run. It fills the buckets by weight per slot time,
//     highest first. It takes no time off for the way between two pieces of work in a
//     slot, so that no scheduler can reach 1 at full load. A gray server counts with the share of work that it answers, over
//     its slowdown; a server that left or is cold counts accordingly.
//   - The wait of a request is its latency minus the work time in the ledger of the
//     server that answered, minus the path's simulated latency. short_wait covers the
//     requests on routes that are not long and that are no stragglers, neither in the
//     peak nor in the 5 s after it: there, short work waits for other short work.
//   - Added latency is the wait of requests that ran once and carry no key, after the
//     warm-up and neither in the peak nor in the 5 s after it, against direct calls
//     through the same kind of path to a server outside all pools: the difference of
//     the quantiles. It covers requests whose server is in the entry VM's region. On a
//     busy machine both quantiles hold its delays: compare with direct_overhead_p99_ms.
//   - slot_excess is the most requests that all VMs together had under way at one
//     server, by their own accounting, beyond its slots.
//   - shed_ratio is sheds at servers over runs and sheds. retry_ratio is repeats sent to
//     servers over first tries, during the first fault of a whole service, or after the
//     warm-up when the scenario has none.
package bench
