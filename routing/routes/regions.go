package routes

import "slices"

// Regions says in which regions data may be processed. The zero value allows all.
type Regions struct {
	isLimited bool
	names     []string
}

// RegionsOf returns the regions that all of the lists hold. A list without elements allows all
// regions.
func RegionsOf(lists ...[]string) Regions {
	var out Regions
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !out.isLimited:
			out = Regions{isLimited: true, names: slices.Clone(list)}
		default:
			out.names = slices.DeleteFunc(out.names, func(name string) bool { return !slices.Contains(list, name) })
		}
	}
	return out
}

// Allows reports whether data may be processed in a region.
func (r Regions) Allows(region string) bool { return !r.isLimited || slices.Contains(r.names, region) }

// IsLimited reports whether some regions are not allowed.
func (r Regions) IsLimited() bool { return r.isLimited }

// regionsByHost returns the regions that are allowed for all routes of a host, by lower-case host.
func regionsByHost(hosts map[string]map[string]*Route) map[string]Regions {
	out := map[string]Regions{}
	for host, byPrefix := range hosts {
		var lists [][]string
		for _, r := range byPrefix {
			lists = append(lists, r.Regions)
		}
		if regions := RegionsOf(lists...); regions.isLimited {
			out[host] = regions
		}
	}
	return out
}
