package hollow

import (
	"fmt"

	"ravensill/configsync"
	"ravensill/lab/fleet"
	"ravensill/lab/gatewayconfig"
	"ravensill/lab/rollout"
)

const (

	// Rates of quota plans all have four digits, so that each change of one has the same bytes.
	firstRate  = 1000
	otherRates = 8999
)

// ConfigurationSize is the size of the configuration.
type ConfigurationSize struct {
	Plans   int `json:"quota_plans"`
	Classes int `json:"request_classes"`
}

// request returns the request that publishes all content.
func (c ConfigurationSize) request() (rollout.Request, error) {
	var plans []gatewayconfig.QuotaPlan
	for i := range c.Plans {
		plans = append(plans, quotaPlan(i, firstRate))
	}
	var classes []gatewayconfig.Class
	for i := range c.Classes {
		classes = append(classes, requestClass(i))
	}
	return rollout.ContentRequest(plans, classes)
}

// changeRequest returns the request for the nth change, which sets another rate of one quota plan after another.
func (c ConfigurationSize) changeRequest(n int) (rollout.Request, error) {
	i := n % c.Plans
	resource := string(configsync.PlanPrefix) + planName(i)
	return rollout.PatchRequest(rollout.Resources{resource: quotaPlan(i, firstRate+1+n%otherRates)})
}

// planName returns the name of quota plan i.
func planName(i int) string { return fmt.Sprintf("plan-%06d", i) }

// quotaPlan returns quota plan i with a rate.
func quotaPlan(i, rate int) gatewayconfig.QuotaPlan {
	return gatewayconfig.QuotaPlan{Name: planName(i), Rate: float64(rate), Burst: 2000, PriorityWeight: 1}
}

// requestClass returns request class i.
func requestClass(i int) gatewayconfig.Class {
	class := fleet.Classes()[0]
	class.Name = fmt.Sprintf("class-%04d", i)
	return class
}
