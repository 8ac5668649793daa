package folder

import (
	"encoding/hex"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"hornbeamstep.example/policy"
)

// DefaultTimeout is the longest call of a plain service that sets none.
const DefaultTimeout = 30 * time.Second

// maxDuration rejects durations written in a wrong unit, such as milliseconds written as hours.
const maxDuration = 24 * time.Hour

var sections = []string{"pools", "models", "backends", "services", "accounts"}

// defaults are the values of fields that no file sets, as they are written.
var defaults = map[string]map[string]string{
	"pools":    {"bound": number(policy.DefaultBound), "queue": strconv.Itoa(policy.DefaultQueue), "wait": policy.DefaultWait.String(), "memory": "0"},
	"models":   {"adapters": "[]", "version": ""},
	"backends": {"zone": "", "weight": number(policy.DefaultWeight), "state": string(policy.InService), "fence": "false"},
	"services": {"repeat": "false", "checks": "false", "timeout": DefaultTimeout.String()},
	"accounts": {"models": "[]", "services": "[]", "class": "normal", "weight": number(policy.DefaultWeight), "rate": "0", "tokens": "0"},
}

func number(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// item holds the values of one item of any section while it is built.
type item struct {
	pool    policy.Pool
	model   policy.Model
	backend policy.Backend
	service policy.Service
	account policy.Account
}

// fault says why a value is wrong; its kind is empty for a right one.
type fault struct {
	kind            Kind
	message, remedy string
}

type setter func(*item, value) fault

var fields = map[string]map[string]setter{
	"pools": {
		"bound": decimal(1, 1000, func(i *item) *float64 { return &i.pool.Bound }),
		"queue": integer(0, 1_000_000, func(i *item) *int { return &i.pool.Queue }),
		"wait":  duration(0, func(i *item) *time.Duration { return &i.pool.Wait }),
		// Up to 10 TB.
		"memory": integer(0, 10_000_000_000_000, func(i *item) *int { return &i.pool.Memory }),
	},
	"models": {
		"pool":     word(func(i *item) *string { return &i.model.Pool }),
		"adapters": words(func(i *item) *[]string { return &i.model.Adapters }),
		"version":  word(func(i *item) *string { return &i.model.Version }),
	},
	"backends": {
		"pool":    word(func(i *item) *string { return &i.backend.Pool }),
		"service": word(func(i *item) *string { return &i.backend.Service }),
		"address": setAddress,
		"zone":    word(func(i *item) *string { return &i.backend.Zone }),
		"weight":  decimal(smallest, 1e6, func(i *item) *float64 { return &i.backend.Weight }),
		"state":   setState,
		"fence":   boolean(func(i *item) *bool { return &i.backend.Fence }),
	},
	"services": {
		"repeat":  boolean(func(i *item) *bool { return &i.service.Repeat }),
		"checks":  boolean(func(i *item) *bool { return &i.service.Checks }),
		"timeout": duration(time.Millisecond, func(i *item) *time.Duration { return &i.service.Timeout }),
	},
	"accounts": {
		"keys":     setKeys,
		"models":   words(func(i *item) *[]string { return &i.account.Models }),
		"services": words(func(i *item) *[]string { return &i.account.Services }),
		"class":    setClass,
		"weight":   decimal(smallest, 1e6, func(i *item) *float64 { return &i.account.Weight }),
		"rate":     decimal(0, 1e9, func(i *item) *float64 { return &i.account.Rate }),
		"tokens":   decimal(0, 1e12, func(i *item) *float64 { return &i.account.Tokens }),
	},
}

// smallest is the least weight; shares are divided by weights.
const smallest = 1e-6

func fieldNames(section string) []string {
	return slices.Sorted(maps.Keys(fields[section]))
}

func word(to func(*item) *string) setter {
	return func(i *item, v value) fault {
		s, f := plain(v)
		*to(i) = s
		return f
	}
}

// plain accepts numbers as text, so that a version such as 3 needs no quotes.
func plain(v value) (string, fault) {
	switch v.form {
	case text, whole, decimalForm:
		return v.text, fault{}
	}
	return "", fault{BadType, "value is no text", "write one word, in quotes if it has special characters"}
}

func words(to func(*item) *[]string) setter {
	return func(i *item, v value) fault {
		if v.form != list {
			return fault{BadType, "value is no list", "write a list such as [a, b]"}
		}
		out := make([]string, 0, len(v.items))
		for _, i := range v.items {
			s, f := plain(i)
			if f.kind != "" {
				return f
			}
			if slices.Contains(out, s) {
				return fault{Contradiction, strconv.Quote(s) + " is listed twice", "list each value once"}
			}
			out = append(out, s)
		}
		*to(i) = out
		return fault{}
	}
}

func decimal(low, high float64, to func(*item) *float64) setter {
	return func(i *item, v value) fault {
		if v.form != whole && v.form != decimalForm {
			return fault{BadType, "value is no number", "write a decimal number such as 1.25"}
		}
		f, err := strconv.ParseFloat(strings.ReplaceAll(v.text, "_", ""), 64)
		if err != nil || math.IsNaN(f) {
			return fault{BadType, "value is no decimal number", "write a decimal number such as 1.25"}
		}
		if f < low || f > high {
			return fault{BadRange, number(f) + " is out of range", "use " + number(low) + " to " + number(high)}
		}
		*to(i) = f
		return fault{}
	}
}

func integer(low, high int, to func(*item) *int) setter {
	return func(i *item, v value) fault {
		n, err := strconv.Atoi(strings.ReplaceAll(v.text, "_", ""))
		if v.form != whole || err != nil {
			return fault{BadType, "value is no whole number", "write a decimal whole number such as 64"}
		}
		if n < low || n > high {
			return fault{BadRange, strconv.Itoa(n) + " is out of range", "use " + strconv.Itoa(low) + " to " + strconv.Itoa(high)}
		}
		*to(i) = n
		return fault{}
	}
}

func duration(low time.Duration, to func(*item) *time.Duration) setter {
	return func(i *item, v value) fault {
		s, f := plain(v)
		if f.kind != "" {
			return f
		}
		d, err := time.ParseDuration(s)
		if err != nil {
			return fault{BadType, strconv.Quote(s) + " is no duration", "write a number with its unit, such as 10s or 250ms"}
		}
		if d < low || d > maxDuration {
			return fault{BadRange, d.String() + " is out of range", "use " + low.String() + " to " + maxDuration.String()}
		}
		*to(i) = d
		return fault{}
	}
}

func boolean(to func(*item) *bool) setter {
	return func(i *item, v value) fault {
		if v.form != truth {
			return fault{BadType, "value is neither true nor false", "write true or false"}
		}
		*to(i) = strings.EqualFold(v.text, "true")
		return fault{}
	}
}

func setAddress(i *item, v value) fault {
	s, f := plain(v)
	if f.kind != "" {
		return f
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		return fault{BadAddress, strconv.Quote(s) + " is no ip:port", "write an IP number and a port, such as 10.0.0.1:8000"}
	}
	i.backend.Address = a.String()
	return fault{}
}

func setState(i *item, v value) fault {
	s := policy.State(v.text)
	if s != policy.InService && s != policy.Leaving {
		return fault{BadRange, strconv.Quote(string(s)) + " is no state", "use service or leaving"}
	}
	i.backend.State = s
	return fault{}
}

var classes = map[string]policy.Class{"urgent": policy.Urgent, "normal": policy.Normal, "batch": policy.Batch}

func setClass(i *item, v value) fault {
	class, ok := classes[v.text]
	if !ok {
		return fault{BadRange, strconv.Quote(v.text) + " is no class", "use urgent, normal or batch"}
	}
	i.account.Class = class
	return fault{}
}

var setWords = words(func(i *item) *[]string { return &i.account.Keys })

func setKeys(i *item, v value) fault {
	if f := setWords(i, v); f.kind != "" {
		return f
	}
	for _, k := range i.account.Keys {
		sum, err := hex.DecodeString(k)
		if err != nil || len(sum) != 32 || strings.ToLower(k) != k {
			// The value is left out of the message: it may be a key written in the clear.
			return fault{BadDigest, "a key is no SHA-256 digest", "write the 64 lower-case hex digits of the key's SHA-256 digest, never the key itself"}
		}
	}
	return fault{}
}
