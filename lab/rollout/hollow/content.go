package hollow

import (
	"fmt"

	"ravensill/configsync"
	"ravensill/lab/fleet"
	"ravensill/lab/gatewayconfig"
	"ravensill/lab/rollout"
)

const (
	// All rates of quota plans have four digits, so that every change has the same number of bytes.
	initialRate  = 1000 // units per second in the first version
	changedRates = 8999 // number of rates above initialRate that the changes cycle through
)

// ConfigurationSize is the number of resources in a configuration.
type ConfigurationSize struct {
	Plans   int `json:"quota_plans"`
	Classes int `json:"request_classes"`
}

// firstVersionRequest returns the request that publishes the whole configuration.
func (c ConfigurationSize) firstVersionRequest() (rollout.Request, error) {
	var plans []gatewayconfig.QuotaPlan
	for i := range c.Plans {
		plans = append(plans, quotaPlan(i, initialRate))
	}
	var classes []gatewayconfig.Class
	for i := range c.Classes {
		classes = append(classes, requestClass(i))
	}
	return rollout.ContentRequest(plans, classes)
}

// changeRequest returns the request for change n. Successive changes set a new rate in one quota plan after another.
func (c ConfigurationSize) changeRequest(n int) (rollout.Request, error) {
	i := n % c.Plans
	resource := string(configsync.PlanPrefix) + planName(i)
	return rollout.PatchRequest(rollout.Resources{resource: quotaPlan(i, initialRate+1+n%changedRates)})
}

// planName returns the name of quota plan i. Up to a million plans have names of the same length.
func planName(i int) string { return fmt.Sprintf("plan-%06d", i) }

// quotaPlan returns quota plan i with the given rate, in units per second.
func quotaPlan(i, rate int) gatewayconfig.QuotaPlan {
	return gatewayconfig.QuotaPlan{Name: planName(i), Rate: float64(rate), Burst: 2000, PriorityWeight: 1}
}

// requestClass returns request class i. The classes differ only in their names.
func requestClass(i int) gatewayconfig.Class {
	class := fleet.Classes()[0]
	class.Name = fmt.Sprintf("class-%04d", i)
	return class
}
