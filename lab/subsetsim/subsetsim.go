// Package subsetsim measures how evenly a fleet of gateways uses its hosts: with several rules of subsetting, by
// computing the subsets alone (rules.go, table.go), and with gateways of package logic on a simulated day (day.go).
// It does no I/O, and the same seed always yields the same figures.
package subsetsim

// mix spreads any change of x over all bits: it is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
