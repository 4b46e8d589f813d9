package report

import (
	"encoding/json"
	"io"

	"verbenabank/core/clock"
	"verbenabank/vload/query/metric"
)

// JSON writes the report as one JSON object.
func (p Report) JSON(w io.Writer) error {
	type kindJSON struct {
		Service  string  `json:"service"`
		Method   string  `json:"method"`
		Sent     int     `json:"sent"`
		Answered int     `json:"answered"`
		P50      float64 `json:"p50_ms"`
		P99      float64 `json:"p99_ms"`
		Max      float64 `json:"max_ms"`
	}
	type serviceJSON struct {
		Name               string  `json:"name"`
		Imbalance          float64 `json:"imbalance"`
		Variation          float64 `json:"variation"`
		ChurnPerThousand   float64 `json:"churn_per_1000"`
		ChurnPerKey        float64 `json:"churn_per_key"`
		UnavailableSeconds int     `json:"unavailable_key_seconds"`
		UnavailableShare   float64 `json:"unavailable_share"`
		LongestMs          int64   `json:"longest_unavailable_ms"`
	}
	var kinds []kindJSON
	for _, k := range p.kinds {
		kinds = append(kinds, kindJSON{k.service, k.method, k.count, k.answered, k.quantile(50), k.quantile(99), k.quantile(100)})
	}
	var services []serviceJSON
	for _, s := range p.services {
		services = append(services, serviceJSON{
			s.name, s.imbalance.Ratio(), s.imbalance.Variation(), s.churn.PerThousand(), s.churn.PerKey(),
			s.unavailable.Seconds(), s.unavailable.Share(), int64(s.unavailable.Longest()),
		})
	}
	v, e := p.violations, p.run.experiment
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(struct {
		Routing     string         `json:"routing"`
		Retry       string         `json:"retry"`
		Seed        uint64         `json:"seed"`
		Outcomes    map[string]int `json:"outcomes"`
		Answered    float64        `json:"answered_percent"`
		Kinds       []kindJSON     `json:"kinds"`
		Services    []serviceJSON  `json:"services"`
		Duplicates  int            `json:"duplicates"`
		Overlaps    int            `json:"overlaps"`
		StaleEpochs int            `json:"older_epochs"`
		Lost        int            `json:"lost"`
		RefusedRan  int            `json:"refused_but_ran"`
		Crossed     int            `json:"crossed"`
		Truncated   int            `json:"truncated"`
		LateWork    int            `json:"late_work"`
		InDoubt     int            `json:"unknown_but_ran"`
	}{
		routingName(e.Routing()), retryName(e.Retry()), e.Seed(), p.outcomes, p.AnsweredPercent(), kinds, services,
		v.Duplicates(), v.Overlaps(), v.StaleEpochs(), v.Lost(), v.RefusedRan(), v.Crossed(), v.Truncated(), v.LateWork(), p.inDoubt,
	})
}

// Calls writes each call that was not answered as one line of JSON. The field at_ms
// is the due time after the start of the load.
func (p Report) Calls(w io.Writer) error {
	executed := p.executedIDs()
	encoder := json.NewEncoder(w)
	for _, c := range p.run.calls {
		if metric.Answered(c) {
			continue
		}
		r := c.Request()
		err := encoder.Encode(struct {
			ID      string       `json:"id"`
			Service string       `json:"service"`
			Key     string       `json:"key"`
			Method  string       `json:"method"`
			Server  string       `json:"server"`
			At      clock.Millis `json:"at_ms"`
			Latency float64      `json:"latency_ms"`
			Outcome string       `json:"outcome"`
			Ran     bool         `json:"ran"`
		}{r.ID(), r.Service(), r.Key(), r.Method(), c.Server(), c.DueAt() - p.run.from, millis(c.Latency()), outcomeName(c), executed[r.ID()]})
		if err != nil {
			return err
		}
	}
	return nil
}
