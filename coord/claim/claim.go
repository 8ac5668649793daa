// Package claim keeps the claim log in the object API, by which a request that may not be repeated runs at most once.
package claim
