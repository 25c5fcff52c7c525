// Package standin holds simulations of what surrounds the fleet: the log service,
// the VM list and backend servers. Tests and the demo use them; each can be served
// over HTTP and has controls for its faults.
package standin
