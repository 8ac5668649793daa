// Command hornbeamctl is part of hornbeamstep.
package main

func main() {}
