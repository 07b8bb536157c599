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

// Content says how large the configuration is.
type Content struct {
	Plans   int `json:"quota_plans"`
	Classes int `json:"request_classes"`
}

// whole is the request that publishes the whole content.
func (c Content) whole() (rollout.Request, error) {
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

// change is the request for the nth change: another rate of one quota plan after another.
func (c Content) change(n int) (rollout.Request, error) {
	i := n % c.Plans
	resource := string(configsync.PlanPrefix) + planName(i)
	return rollout.PatchRequest(rollout.Resources{resource: quotaPlan(i, firstRate+1+n%otherRates)})
}

func planName(i int) string { return fmt.Sprintf("plan-%06d", i) }

func quotaPlan(i, rate int) gatewayconfig.QuotaPlan {
	return gatewayconfig.QuotaPlan{Name: planName(i), Rate: float64(rate), Burst: 2000, PriorityWeight: 1}
}

func requestClass(i int) gatewayconfig.Class {
	class := fleet.Classes()[0]
	class.Name = fmt.Sprintf("class-%04d", i)
	return class
}
