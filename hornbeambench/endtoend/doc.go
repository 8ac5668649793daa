// Package endtoend tests complete router daemons against a simulated platform, simulated engines
// and a simulated service, all in one process.
package endtoend
