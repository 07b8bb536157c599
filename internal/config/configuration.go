package config

import (
	"errors"
	"net/netip"
	"slices"

	"ravensill/configsync"
)

// maxPublishers is the largest number of addresses that configuration.publishers may have.
const maxPublishers = 7

var errWithCounterfactual = errors.New("not together with the section counterfactual, " +
	"whose summaries name request classes by their place in the file")

// Configuration is the optional section on the configuration that publishers distribute to all gateways
// (docs/configuration-sync.md).
type Configuration struct {
	Publishers []netip.AddrPort // TCP; the gateway follows one of them at a time
	Dir        string           // where the gateway stores the latest valid version
}

// configurationSection is the JSON object at the key configuration of the file, before it is checked and converted.
type configurationSection struct {
	Publishers []string `json:"publishers"`
	Dir        string   `json:"dir"`
}

// decodeConfiguration decodes the section. It returns nil for an empty text, if the file has no such section.
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

// assignPlanIDs sets the ID by which gossip names each quota plan of the file, a hash of the plan's name. It returns an
// error for two plans with the same ID, which gossip would confuse, and for two request classes with the same name,
// which documents from the publishers could not distinguish.
func (c *Config) assignPlanIDs() error {
	seenClasses := make(map[string]bool, len(c.ClassNames))
	for i, name := range c.ClassNames {
		if seenClasses[name] {
			return keyError(elementPath("settings.profiles", i)+".name", errRepeated)
		}
		seenClasses[name] = true
	}
	indexByID := make(map[uint32]int, len(c.Plans))
	for i, name := range c.PlanNames {
		id := configsync.PlanID(name)
		if other, taken := indexByID[id]; taken {
			return keyErrorf(elementPath("settings.plans", i)+".name", "%q has the identity of plans.%d, %q",
				name, other, c.PlanNames[other])
		}
		indexByID[id] = i
		c.Plans[i].ID = id
	}
	return nil
}

// checkDistinct returns an error if two gateways have the same gossip address. Documents from the publishers change
// addresses one by one, which requires that an address identifies one member.
func checkDistinct(addresses []netip.AddrPort) error {
	indexByAddress := make(map[netip.AddrPort]int, len(addresses))
	for i, address := range addresses {
		if other, taken := indexByAddress[address]; taken {
			return keyErrorf(elementPath("peers", i), "%s is the address of peers.%d", address, other)
		}
		indexByAddress[address] = i
	}
	return nil
}
