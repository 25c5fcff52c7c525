// Command fulmarbeam runs an entry VM of the proxy fleet.
package main

func main() {}
