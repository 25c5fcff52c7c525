// Package bench runs scenarios against a fleet on loopback in one process, with real TCP
// connections in real time, and measures what callers and servers observed.
//
// The load is open loop: arrivals are generated in advance from the seed and do not wait
// for responses. Latency is measured from the intended start. The callers' network latency
// to the fleet is not simulated: each reported latency is the measured one plus twice
// Topology.ToCallers. Latency between VMs and from VMs to servers is simulated by package
// faultproxy, which forwards the bytes of each path.
//
// The measures are defined as follows.
//
//   - Invariants compare the callers' ledger with the servers' ledgers over the whole run.
//     run_twice counts requests that are not idempotent and ran more than once.
//     not_run_but_ran counts requests that were reported as not-run and are in a server's
//     ledger. wrong_answer_passed counts responses with a success status whose body is not
//     the one that the request's method, address and body determine. requests_cut counts
//     connections that ended before the response was complete, except at VMs that the
//     scenario killed.
//   - floor_violations counts samples, taken every 20 ms, in which a service's listed live
//     servers that no VM has ejected are fewer than the floor.
//   - Detection is the time from a fault's start to the start of the last regular request
//     that a server ran under that fault, from the server's ledger. An execution is a trial,
//     and not regular, if the entry VM's decision marked it as such; decisions and executions are
//     matched by VM, server, route and order. A server that still gets regular requests in
//     the last second of its fault counts as not detected, and its detection time is
//     nearly the whole fault. Servers that got fewer than 10 requests/s before the fault
//     are left out.
//   - A flapping server's held_out_share is the share of samples in which some VM enforces
//     an ejection of it, from 5 s after the fault's start until its end.
//   - leaving_last_ms is the time from a server's listing as leaving to the start of its
//     last work. The server itself declines work only 4 s after the listing.
//   - false_ejections counts ejections of servers without a fault of their own, from the
//     journals of all VMs. Ejections of one server within 5 s count once. A fault of all
//     servers of a service, of a route, of a zone or of a link is not a server's own.
//   - weight_served_ratio is the weight of the requests that were answered correctly and
//     once, relative to an upper bound from a fluid model. It covers requests that arrive
//     within the peak, or after the warm-up when the scenario has no peak. The model treats
//     a service's slots as one divisible resource in buckets of one second. Each request
//     can use the buckets from its arrival to its deadline and needs the work time drawn
//     for it. Requests are served in descending order of weight per slot time. The bound
//     leaves out the time that a slot is idle between two requests, so that no scheduler
//     can reach 1 at full load. A gray server contributes the share of work that it
//     completes, divided by its slowdown; cold servers contribute their reduced work rate
//     and servers that left contribute nothing.
//   - The wait of a request is its latency minus the work time in the ledger of the server
//     that answered, minus the simulated latency of the path. short_wait covers requests on
//     routes that are not long, without stragglers, neither in the peak nor in the 5 s
//     after it, because at those times short work waits for other short work.
//   - Added latency compares requests through the fleet with direct calls to a server
//     outside all pools over the same kind of path. It is the difference of the quantiles
//     of their waits. It covers requests that ran once, carry no key and ran in the entry
//     VM's region, after the warm-up and neither in the peak nor in the 5 s after it. On a
//     busy machine both quantiles include scheduling delays: compare with
//     direct_overhead_p99_ms.
//   - slot_excess is the largest number of requests beyond a server's slots that all VMs
//     together had in flight at that server, by their own accounting.
//   - shed_ratio is the number of requests shed by servers, relative to those run or shed.
//     retry_ratio is the number of retries sent to servers, relative to first attempts,
//     during the first gray fault of a whole service, or after the warm-up when the
//     scenario has none.
package bench
