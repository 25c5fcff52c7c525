// Package standin simulates the services around the fleet for tests and the demo: the
// log service, the VM list and backend servers. Each can be served over HTTP and has a
// control endpoint for fault injection.
package standin
