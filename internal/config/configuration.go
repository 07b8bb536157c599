package config

import (
	"errors"
	"net/netip"
	"slices"

	"ravensill/configsync"
)

// mostPublishers is the largest number of addresses in configuration.publishers.
const mostPublishers = 7

var errCombined = errors.New("not together with the section counterfactual, whose summaries name request classes by their place in the file")

// Configuration is the optional section on the configuration that publishers distribute to the whole fleet
// (docs/configuration-sync.md).
type Configuration struct {
	Publishers []netip.AddrPort // TCP; the gateway follows any one of them
	Dir        string           // folder of the last good version
}

// configuration reads the section; nil where there is none.
func (c *Config) configuration(raw string) (*Configuration, error) {
	if raw == "" {
		return nil, nil
	}
	var text struct {
		Publishers []string `json:"publishers"`
		Dir        string   `json:"dir"`
	}
	if err := strict(raw, &text); err != nil {
		return nil, err
	}
	if count := len(text.Publishers); count < 1 || count > mostPublishers {
		return nil, keyErrorf("publishers", "%d addresses; 1 to %d wanted", count, mostPublishers)
	}
	section := &Configuration{Dir: text.Dir}
	for i, address := range text.Publishers {
		publisher, err := netip.ParseAddrPort(address)
		if err == nil && slices.Contains(section.Publishers, publisher) {
			err = errGivenTwice
		}
		if err != nil {
			return nil, keyError(elementPath("publishers", i), err)
		}
		section.Publishers = append(section.Publishers, publisher)
	}
	if section.Dir == "" {
		return nil, keyError("dir", errMissing)
	}
	return section, nil
}

// identify gives each quota plan of the file the identity by which gossip names it. Two plans of one identity could not
// be told apart by other gateways, nor two request classes of one name by documents.
func (c *Config) identify() error {
	classes := make(map[string]bool, len(c.ClassNames))
	for i, name := range c.ClassNames {
		if classes[name] {
			return keyError(elementPath("settings.profiles", i)+".name", errGivenTwice)
		}
		classes[name] = true
	}
	first := make(map[uint32]int, len(c.Plans))
	for i, name := range c.PlanNames {
		id := configsync.PlanID(name)
		if other, taken := first[id]; taken {
			return keyErrorf(elementPath("settings.plans", i)+".name", "%q has the identity of plans.%d, %q", name, other, c.PlanNames[other])
		}
		first[id] = i
		c.Plans[i].ID = id
	}
	return nil
}

// distinct looks for an address that two gateways have: documents change them one by one.
func distinct(addresses []netip.AddrPort) error {
	first := make(map[netip.AddrPort]int, len(addresses))
	for i, address := range addresses {
		if other, taken := first[address]; taken {
			return keyErrorf(elementPath("peers", i), "%s is the address of peers.%d", address, other)
		}
		first[address] = i
	}
	return nil
}
