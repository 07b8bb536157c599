// Package subsetsim measures how evenly a fleet of gateways uses its hosts when each gateway sends only to a subset of
// them. It compares several rules for choosing subsets by computing the subsets alone (rules.go, table.go), and it
// simulates traffic through gateways of package logic under faults and changes (day.go). It does no I/O, and the same
// seed always yields the same figures.
package subsetsim

// hashMix spreads any change of x over all bits (the finalizer of SplitMix64).
func hashMix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
