package conf

import (
	"fmt"
	"path/filepath"

	"verbenabank/core/clock"
	"verbenabank/vload/state/plan"
)

// experiment is the form of plan.Experiment in files.
type experiment struct {
	Layout          string        `json:"layout"`
	Seed            *uint64       `json:"seed"`
	LengthMs        *clock.Millis `json:"length_ms"`
	SettleMs        *clock.Millis `json:"settle_ms"`
	TimeoutMs       *clock.Millis `json:"timeout_ms"`
	AnswerWithinMs  *clock.Millis `json:"answer_within_ms"`
	Rate            *float64      `json:"rate"`
	InFlight        *int          `json:"in_flight"`
	AnsweredPercent float64       `json:"answered_percent"`
	Routing         string        `json:"routing"`
	Retry           string        `json:"retry"`
	SecondEntry     bool          `json:"second_entry"`
	Keys            struct {
		Count    int     `json:"count"`
		Exponent float64 `json:"exponent"`
		Hot      []struct {
			AtMs    clock.Millis `json:"at_ms"`
			Keys    int          `json:"keys"`
			Percent float64      `json:"percent"`
		} `json:"hot"`
	} `json:"keys"`
	Mix []struct {
		Service     string  `json:"service"`
		Method      string  `json:"method"`
		Weight      float64 `json:"weight"`
		UploadBytes int     `json:"upload_bytes"`
		AnswerBytes int     `json:"answer_bytes"`
	} `json:"mix"`
	Faults []fault `json:"faults"`
}

// ReadExperiment returns the experiment in the file at path and the path of its
// layout, which the file names relative to itself.
func ReadExperiment(path string) (plan.Experiment, string, error) {
	var x experiment
	if err := load(path, &x); err != nil {
		return plan.Experiment{}, "", err
	}
	e, err := x.decode()
	if err != nil {
		return plan.Experiment{}, "", err
	}
	return e, filepath.Join(filepath.Dir(path), x.Layout), nil
}

func (x experiment) decode() (plan.Experiment, error) {
	routing, err := DecodeRouting(x.Routing)
	if err != nil {
		return plan.Experiment{}, err
	}
	retry, err := DecodeRetry(x.Retry)
	if err != nil {
		return plan.Experiment{}, err
	}
	var faults []plan.Fault
	for _, f := range x.Faults {
		list, err := f.decode()
		if err != nil {
			return plan.Experiment{}, err
		}
		faults = append(faults, list...)
	}
	return plan.New(
		plan.WithSeed(or(x.Seed, plan.DefaultSeed)),
		plan.WithDuration(or(x.LengthMs, plan.DefaultDuration), or(x.SettleMs, plan.DefaultSettle)),
		plan.WithTimeout(or(x.TimeoutMs, plan.DefaultTimeout), or(x.AnswerWithinMs, plan.DefaultAnswerWithin)),
		plan.WithRate(or(x.Rate, plan.DefaultRate), or(x.InFlight, plan.DefaultMaxInFlight)),
		plan.WithMinAnsweredPercent(x.AnsweredPercent),
		plan.WithRouting(routing), plan.WithRetry(retry), plan.WithConnectFailover(x.SecondEntry),
		plan.WithKeys(x.keys()), plan.WithMix(x.mix()...), plan.WithFaults(faults...),
	), nil
}

func (x experiment) keys() plan.KeyDistribution {
	hot := make([]plan.HotSet, 0, len(x.Keys.Hot))
	for _, h := range x.Keys.Hot {
		hot = append(hot, plan.NewHotSet(h.AtMs, h.Keys, h.Percent))
	}
	return plan.NewKeyDistribution(max(x.Keys.Count, 1), x.Keys.Exponent, hot)
}

func (x experiment) mix() []plan.RequestKind {
	mix := make([]plan.RequestKind, 0, len(x.Mix))
	for _, m := range x.Mix {
		mix = append(mix, plan.NewRequestKind(m.Service, m.Method, m.Weight, m.UploadBytes, m.AnswerBytes))
	}
	return mix
}

// DecodeRouting returns the routing called name; "" names the daemons.
func DecodeRouting(name string) (plan.Routing, error) {
	switch name {
	case "", "daemons":
		return plan.Daemons{}, nil
	case "modulo":
		return plan.Modulo{}, nil
	case "random":
		return plan.Random{}, nil
	case "round-robin":
		return plan.RoundRobin{}, nil
	}
	return nil, fail("decode", Invalid, fmt.Errorf("routing %q is not daemons, modulo, random or round-robin", name))
}

// DecodeRetry returns the retry policy called name; "" names none.
func DecodeRetry(name string) (plan.Retry, error) {
	switch name {
	case "", "none":
		return plan.RetryNone{}, nil
	case "all":
		return plan.RetryAll{}, nil
	}
	return nil, fail("decode", Invalid, fmt.Errorf("retry %q is not none or all", name))
}
