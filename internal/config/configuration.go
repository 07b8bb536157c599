package config

import (
	"errors"
	"net/netip"
	"slices"

	"ravensill/configsync"
)

// maxPublishers is the largest number of addresses in configuration.publishers.
const maxPublishers = 7

var errCombined = errors.New("not together with the section counterfactual, " +
	"whose summaries name request classes by their place in the file")

// Configuration is the optional section on the configuration that publishers distribute to all gateways
// (docs/configuration-sync.md).
type Configuration struct {
	Publishers []netip.AddrPort // TCP; the gateway follows any one of them
	Dir        string           // of the last good version
}

// configurationSection is the section as it is written.
type configurationSection struct {
	Publishers []string `json:"publishers"`
	Dir        string   `json:"dir"`
}

// decodeConfiguration reads the section; it returns nil where there is none.
func decodeConfiguration(raw string) (*Configuration, error) {
	if raw == "" {
		return nil, nil
	}
	var section configurationSection
	if err := decodeSection(raw, &section); err != nil {
		return nil, err
	}
	count := len(section.Publishers)
	if count < 1 || count > maxPublishers {
		return nil, keyErrorf("publishers", "%d addresses; 1 to %d wanted", count, maxPublishers)
	}
	c := &Configuration{Dir: section.Dir}
	for i, text := range section.Publishers {
		publisher, err := netip.ParseAddrPort(text)
		if err == nil && slices.Contains(c.Publishers, publisher) {
			err = errRepeated
		}
		if err != nil {
			return nil, keyError(elementPath("publishers", i), err)
		}
		c.Publishers = append(c.Publishers, publisher)
	}
	if c.Dir == "" {
		return nil, keyError("dir", errMissing)
	}
	return c, nil
}

// identifyPlans sets the identity by which gossip names each quota plan of the file. It returns an error for two plans
// of one identity, which gossip would confuse, and for two request classes of one name, which documents would.
func (c *Config) identifyPlans() error {
	classes := make(map[string]bool, len(c.ClassNames))
	for i, name := range c.ClassNames {
		if classes[name] {
			return keyError(elementPath("settings.profiles", i)+".name", errRepeated)
		}
		classes[name] = true
	}
	first := make(map[uint32]int, len(c.Plans))
	for i, name := range c.PlanNames {
		id := configsync.PlanID(name)
		if other, taken := first[id]; taken {
			return keyErrorf(elementPath("settings.plans", i)+".name", "%q has the identity of plans.%d, %q",
				name, other, c.PlanNames[other])
		}
		first[id] = i
		c.Plans[i].ID = id
	}
	return nil
}

// checkDistinct returns an error if two gateways have the same address: documents change addresses one by one.
func checkDistinct(addresses []netip.AddrPort) error {
	first := make(map[netip.AddrPort]int, len(addresses))
	for i, address := range addresses {
		if other, taken := first[address]; taken {
			return keyErrorf(elementPath("peers", i), "%s is the address of peers.%d", address, other)
		}
		first[address] = i
	}
	return nil
}
