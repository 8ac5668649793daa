// Package requestpath tests the request path of a router against the stand-ins of backend servers.
package requestpath
