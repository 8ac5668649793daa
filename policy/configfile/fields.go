package configfile

import (
	"encoding/hex"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"hornbeamstep.example/policy"
)

// DefaultTimeout is the timeout of calls to a service whose configuration sets none.
const DefaultTimeout = 30 * time.Second

// maxDuration is the longest accepted duration. It catches values with a wrong unit, such as
// milliseconds written as hours.
const maxDuration = 24 * time.Hour

var sections = []string{"pools", "models", "backends", "services", "accounts"}

// defaults maps sections and fields to the values of fields that no file sets, in YAML notation.
// Fields without an entry are required, or have no value if they are not set.
var defaults = map[string]map[string]string{
	"pools":    {"bound": formatFloat(policy.DefaultBound), "queue": strconv.Itoa(policy.DefaultQueue), "wait": policy.DefaultWait.String(), "memory": "0"},
	"models":   {"adapters": "[]", "version": ""},
	"backends": {"zone": "", "weight": formatFloat(policy.DefaultWeight), "state": string(policy.InService), "fence": "false"},
	"services": {"repeat": "false", "checks": "false", "timeout": DefaultTimeout.String()},
	"accounts": {"models": "[]", "services": "[]", "class": "normal", "weight": formatFloat(policy.DefaultWeight), "rate": "0", "tokens": "0"},
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// item is an item of any section under construction. Only the struct field for that section is
// used.
type item struct {
	pool    policy.Pool
	model   policy.Model
	backend policy.Backend
	service policy.Service
	account policy.Account
}

// valueError says why a value is invalid. Its kind is empty if the value is valid.
type valueError struct {
	kind            Kind
	message, remedy string
}

// fieldSetter parses a value and stores it in one field of an item.
type fieldSetter func(*item, value) valueError

// fields maps sections and field names to the functions that store the fields.
var fields = map[string]map[string]fieldSetter{
	"pools": {
		"bound": floatValue(1, 1000, func(i *item) *float64 { return &i.pool.Bound }),
		"queue": intValue(0, 1_000_000, func(i *item) *int { return &i.pool.Queue }),
		"wait":  durationValue(0, func(i *item) *time.Duration { return &i.pool.Wait }),
		// In bytes, at most 10 TB.
		"memory": intValue(0, 10_000_000_000_000, func(i *item) *int { return &i.pool.Memory }),
	},
	"models": {
		"pool":     stringValue(func(i *item) *string { return &i.model.Pool }),
		"adapters": stringList(func(i *item) *[]string { return &i.model.Adapters }),
		"version":  stringValue(func(i *item) *string { return &i.model.Version }),
	},
	"backends": {
		"pool":    stringValue(func(i *item) *string { return &i.backend.Pool }),
		"service": stringValue(func(i *item) *string { return &i.backend.Service }),
		"address": setAddress,
		"zone":    stringValue(func(i *item) *string { return &i.backend.Zone }),
		"weight":  floatValue(minWeight, 1e6, func(i *item) *float64 { return &i.backend.Weight }),
		"state":   setState,
		"fence":   boolValue(func(i *item) *bool { return &i.backend.Fence }),
	},
	"services": {
		"repeat":  boolValue(func(i *item) *bool { return &i.service.Retryable }),
		"checks":  boolValue(func(i *item) *bool { return &i.service.Deduplicates }),
		"timeout": durationValue(time.Millisecond, func(i *item) *time.Duration { return &i.service.Timeout }),
	},
	"accounts": {
		"keys":     setKeys,
		"models":   stringList(func(i *item) *[]string { return &i.account.Models }),
		"services": stringList(func(i *item) *[]string { return &i.account.Services }),
		"class":    setClass,
		"weight":   floatValue(minWeight, 1e6, func(i *item) *float64 { return &i.account.Weight }),
		"rate":     floatValue(0, 1e9, func(i *item) *float64 { return &i.account.Rate }),
		"tokens":   floatValue(0, 1e12, func(i *item) *float64 { return &i.account.Tokens }),
	},
}

// minWeight is the smallest weight allowed. It is above 0 because shares are divided by weights.
const minWeight = 1e-6

func fieldNames(section string) []string {
	return slices.Sorted(maps.Keys(fields[section]))
}

func stringValue(target func(*item) *string) fieldSetter {
	return func(i *item, v value) valueError {
		s, invalid := scalarText(v)
		*target(i) = s
		return invalid
	}
}

// scalarText returns the text of a string or a number. Numbers are accepted so that a version such
// as 3 needs no quotes.
func scalarText(v value) (string, valueError) {
	switch v.valueType {
	case typeString, typeInt, typeFloat:
		return v.text, valueError{}
	}
	return "", valueError{BadType, "value is not a string", "write a single value, in quotes if it has special characters"}
}

func stringList(target func(*item) *[]string) fieldSetter {
	return func(i *item, v value) valueError {
		if v.valueType != typeList {
			return valueError{BadType, "value is not a list", "write a list such as [a, b]"}
		}
		out := make([]string, 0, len(v.items))
		for n, element := range v.items {
			s, invalid := scalarText(element)
			if invalid.kind != "" {
				return invalid
			}
			// The message must not hold the value, which may be a key in plain text.
			if earlier := slices.Index(out, s); earlier >= 0 {
				return valueError{Contradiction, fmt.Sprintf("element %d repeats element %d", n+1, earlier+1), "list each value once"}
			}
			out = append(out, s)
		}
		*target(i) = out
		return valueError{}
	}
}

func floatValue(minimum, maximum float64, target func(*item) *float64) fieldSetter {
	return func(i *item, v value) valueError {
		if v.valueType != typeInt && v.valueType != typeFloat {
			return valueError{BadType, "value is not a number", "write a decimal number such as 1.25"}
		}
		f, err := strconv.ParseFloat(strings.ReplaceAll(v.text, "_", ""), 64)
		if err != nil || math.IsNaN(f) {
			return valueError{BadType, "value is not a decimal number", "write a decimal number such as 1.25"}
		}
		if f < minimum || f > maximum {
			return valueError{BadRange, formatFloat(f) + " is out of range", "use " + formatFloat(minimum) + " to " + formatFloat(maximum)}
		}
		*target(i) = f
		return valueError{}
	}
}

func intValue(minimum, maximum int, target func(*item) *int) fieldSetter {
	return func(i *item, v value) valueError {
		n, err := strconv.Atoi(strings.ReplaceAll(v.text, "_", ""))
		if v.valueType != typeInt || err != nil {
			return valueError{BadType, "value is not an integer", "write a decimal integer such as 64"}
		}
		if n < minimum || n > maximum {
			return valueError{BadRange, strconv.Itoa(n) + " is out of range", "use " + strconv.Itoa(minimum) + " to " + strconv.Itoa(maximum)}
		}
		*target(i) = n
		return valueError{}
	}
}

func durationValue(minimum time.Duration, target func(*item) *time.Duration) fieldSetter {
	return func(i *item, v value) valueError {
		s, invalid := scalarText(v)
		if invalid.kind != "" {
			return invalid
		}
		d, err := time.ParseDuration(s)
		if err != nil {
			return valueError{BadType, strconv.Quote(s) + " is not a duration", "write a number with its unit, such as 10s or 250ms"}
		}
		if d < minimum || d > maxDuration {
			return valueError{BadRange, d.String() + " is out of range", "use " + minimum.String() + " to " + maxDuration.String()}
		}
		*target(i) = d
		return valueError{}
	}
}

func boolValue(target func(*item) *bool) fieldSetter {
	return func(i *item, v value) valueError {
		if v.valueType != typeBool {
			return valueError{BadType, "value is neither true nor false", "write true or false"}
		}
		*target(i) = strings.EqualFold(v.text, "true")
		return valueError{}
	}
}

func setAddress(i *item, v value) valueError {
	s, invalid := scalarText(v)
	if invalid.kind != "" {
		return invalid
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		return valueError{BadAddress, strconv.Quote(s) + " is not an ip:port address", "write an IP address and a port, such as 10.0.0.1:8000"}
	}
	i.backend.Address = a.String()
	return valueError{}
}

func setState(i *item, v value) valueError {
	s := policy.State(v.text)
	if s != policy.InService && s != policy.Leaving {
		return valueError{BadRange, strconv.Quote(string(s)) + " is not a state", "use service or leaving"}
	}
	i.backend.State = s
	return valueError{}
}

// classes maps the values of the field class to priority classes.
var classes = map[string]policy.Class{"urgent": policy.Urgent, "normal": policy.Normal, "batch": policy.Batch}

func setClass(i *item, v value) valueError {
	class, ok := classes[v.text]
	if !ok {
		return valueError{BadRange, strconv.Quote(v.text) + " is not a priority class", "use urgent, normal or batch"}
	}
	i.account.Class = class
	return valueError{}
}

// setKeysUnchecked stores the keys of an account without checking that they are digests.
var setKeysUnchecked = stringList(func(i *item) *[]string { return &i.account.Keys })

func setKeys(i *item, v value) valueError {
	if invalid := setKeysUnchecked(i, v); invalid.kind != "" {
		return invalid
	}
	for _, k := range i.account.Keys {
		sum, err := hex.DecodeString(k)
		if err != nil || len(sum) != 32 || strings.ToLower(k) != k {
			// The message omits the value, which may be a plaintext key.
			return valueError{BadDigest, "a key is not a SHA-256 digest", "write the 64 lower-case hex digits of the key's SHA-256 digest, never the key itself"}
		}
	}
	return valueError{}
}
