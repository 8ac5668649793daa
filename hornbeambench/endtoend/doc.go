// Package endtoend tests whole daemons against the stand-ins in one process.
package endtoend
