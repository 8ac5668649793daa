// Command hornbeamd is part of hornbeamstep.
package main

func main() {}
