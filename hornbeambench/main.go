// Command hornbeambench is part of hornbeamstep.
package main

func main() {}
