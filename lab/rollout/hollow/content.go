package hollow

import (
	"encoding/json"
	"fmt"
	"net/http"

	"ravensill/configsync"
	"ravensill/lab/rollout"
)

const (
	configurationPath = "/v1/configuration"

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
	var plans, classes []any
	for i := range c.Plans {
		plans = append(plans, quotaPlan(i, firstRate))
	}
	for i := range c.Classes {
		classes = append(classes, requestClass(i))
	}
	body, err := json.Marshal(map[string]any{"plans": plans, "profiles": classes, "limits": commonLimits(), "peers": []string{}})
	return rollout.Request{Method: http.MethodPut, Path: configurationPath, Body: string(body)}, err
}

// change is the request for the nth change: another rate of one quota plan after another.
func (c Content) change(n int) (rollout.Request, error) {
	i := n % c.Plans
	resource := string(configsync.PlanPrefix) + planName(i)
	set := map[string]any{resource: quotaPlan(i, firstRate+1+n%otherRates)}
	body, err := json.Marshal(map[string]any{"set": set, "remove": []string{}})
	return rollout.Request{Method: http.MethodPatch, Path: configurationPath, Body: string(body)}, err
}

func planName(i int) string { return fmt.Sprintf("plan-%06d", i) }

func quotaPlan(i, rate int) map[string]any {
	return map[string]any{"name": planName(i), "rate": rate, "burst": 2000, "worth_factor": 1}
}

func requestClass(i int) map[string]any {
	return map[string]any{"name": fmt.Sprintf("class-%04d", i), "effect": "safe", "target_us": 2_000_000,
		"hard_limit_us": 8_000_000, "points": 1, "window_us": 3_000_000, "group": "all"}
}

func commonLimits() map[string]any {
	return map[string]any{"max_attempts": 3, "cancelling": true, "retry_after": true, "max_retry_after_us": 10_000_000}
}
