package configfile

import (
	"slices"
	"strconv"

	"hornbeamstep.example/policy"
)

// setting is the value of one key, taken from the last file that sets the key.
type setting struct {
	origin Origin
	value  value
	// overridden are the origins of the key in earlier files, in the order of the files.
	overridden []Origin
}

// builder merges the values of all files and collects their errors.
type builder struct {
	settings map[key]setting
	// items maps the section and name of an item to its origin in the last file that declares it.
	items map[string]map[string]Origin
	// order lists the item names of each section in the order of their first declaration.
	order  map[string][]string
	errors Errors
}

func newBuilder() *builder {
	return &builder{settings: map[key]setting{}, items: map[string]map[string]Origin{}, order: map[string][]string{}}
}

func (b *builder) addError(o Origin, kind Kind, name, message, remedy string) {
	b.errors = append(b.errors, &Error{File: o.File, Line: o.Line, Kind: kind, Key: name, Message: message, Remedy: remedy})
}

// merge adds a file; its values override those of earlier files.
func (b *builder) merge(p *parsedFile) {
	b.errors = append(b.errors, p.errors...)
	for _, m := range p.items {
		if b.items[m.section] == nil {
			b.items[m.section] = map[string]Origin{}
		}
		if _, ok := b.items[m.section][m.name]; !ok {
			b.order[m.section] = append(b.order[m.section], m.name)
		}
		b.items[m.section][m.name] = m.origin
	}
	for _, v := range p.values {
		s := setting{origin: v.origin, value: v.value}
		if old, ok := b.settings[v.key]; ok {
			s.overridden = append(slices.Clone(old.overridden), old.origin)
		}
		b.settings[v.key] = s
	}
}

// build creates the configuration from the merged values and collects errors: invalid and missing
// values, contradictions, and references to items that do not exist.
func (b *builder) build() policy.Policy {
	p := policy.New()
	p.Pools = map[string]policy.Pool{}
	p.Models = map[string]policy.Model{}
	p.Backends = map[string]policy.Backend{}
	p.Services = map[string]policy.Service{}
	accounts := map[string]policy.Account{}
	b.buildSection("pools", func(i item) { p.Pools[i.pool.Name] = i.pool })
	b.buildSection("models", func(i item) { p.Models[i.model.Name] = i.model })
	b.buildSection("backends", func(i item) { p.Backends[i.backend.Name] = i.backend })
	b.buildSection("services", func(i item) { p.Services[i.service.Name] = i.service })
	b.buildSection("accounts", func(i item) { accounts[i.account.Name] = i.account })
	p = p.WithAccounts(accounts)
	b.checkModels(p)
	b.checkBackends(p)
	b.checkAccounts(p)
	return p
}

// buildSection builds the items of a section from their defaults and settings, in the order of
// their first declaration.
func (b *builder) buildSection(section string, add func(item)) {
	for _, name := range b.order[section] {
		i := defaultItem(name)
		for _, field := range fieldNames(section) {
			k := key{section, name, field}
			s, ok := b.settings[k]
			if !ok {
				continue
			}
			if invalid := fields[section][field](&i, s.value); invalid.kind != "" {
				b.addError(s.origin, invalid.kind, k.String(), invalid.message, invalid.remedy)
			}
		}
		add(i)
	}
}

// defaultItem returns an item of any section with the default values of its fields.
func defaultItem(name string) item {
	return item{
		pool:    policy.Pool{Name: name, Bound: policy.DefaultBound, Queue: policy.DefaultQueue, Wait: policy.DefaultWait},
		model:   policy.Model{Name: name},
		backend: policy.Backend{Name: name, Weight: policy.DefaultWeight, State: policy.InService},
		service: policy.Service{Name: name, Timeout: DefaultTimeout},
		account: policy.Account{Name: name, Class: policy.Normal, Weight: policy.DefaultWeight},
	}
}

// origin returns the origin of a field, or of its item if no file sets the field.
func (b *builder) origin(k key) Origin {
	if s, ok := b.settings[k]; ok {
		return s.origin
	}
	return b.items[k.section][k.item]
}

// isSet reports whether any file sets the field.
func (b *builder) isSet(k key) bool {
	_, ok := b.settings[k]
	return ok
}

func (b *builder) addKeyError(k key, kind Kind, message, remedy string) {
	b.addError(b.origin(k), kind, k.String(), message, remedy)
}

func (b *builder) checkModels(p policy.Policy) {
	for _, name := range b.order["models"] {
		b.checkReference(key{"models", name, "pool"}, p.Models[name].Pool, "pools")
	}
}

// checkReference checks that a required field is set and names an existing item of another section.
func (b *builder) checkReference(k key, name, section string) {
	if !b.isSet(k) {
		b.addKeyError(k, Missing, "value is missing", "name an item of "+section)
		return
	}
	if _, ok := b.items[section][name]; !ok {
		b.addKeyError(k, BadReference, strconv.Quote(name)+" does not exist in "+section, "add it to "+section+" or use the name of an existing item")
	}
}

func (b *builder) checkBackends(p policy.Policy) {
	backendByAddress := map[string]string{}
	for _, name := range b.order["backends"] {
		backend := p.Backends[name]
		poolKey, serviceKey := key{"backends", name, "pool"}, key{"backends", name, "service"}
		switch {
		case b.isSet(poolKey) && b.isSet(serviceKey):
			b.addKeyError(serviceKey, Contradiction, "pool and service are both set", "keep pool for a model engine or service for a plain service")
		case b.isSet(serviceKey):
			b.checkReference(serviceKey, backend.Service, "services")
		default:
			// If neither is set, the pool is reported as missing.
			b.checkReference(poolKey, backend.Pool, "pools")
		}
		if b.isSet(serviceKey) && backend.Fence {
			b.addKeyError(key{"backends", name, "fence"}, Contradiction, "a plain service does not support fencing", "remove fence")
		}
		addressKey := key{"backends", name, "address"}
		if !b.isSet(addressKey) {
			b.addKeyError(addressKey, Missing, "value is missing", "write ip:port, such as 10.0.0.1:8000")
			continue
		}
		// An invalid address is stored as "" and has been reported already.
		if other, ok := backendByAddress[backend.Address]; ok && backend.Address != "" {
			b.addKeyError(addressKey, Contradiction, "address is that of "+other+" too", "give each backend server its own address")
		}
		backendByAddress[backend.Address] = name
	}
}

func (b *builder) checkAccounts(p policy.Policy) {
	accountByDigest := map[string]string{}
	for _, name := range b.order["accounts"] {
		account := p.Accounts[name]
		keysKey := key{"accounts", name, "keys"}
		if !b.isSet(keysKey) {
			b.addKeyError(keysKey, Missing, "client account has no key", "list the SHA-256 digest of at least one key")
		}
		for _, digest := range account.Keys {
			if other, ok := accountByDigest[digest]; ok && other != name {
				b.addKeyError(keysKey, DuplicateKey, "key "+digest[:min(8, len(digest))]+" belongs to "+other+" too", "give each client account its own keys")
			}
			accountByDigest[digest] = name
		}
		b.checkAccess(key{"accounts", name, "models"}, account.Models, "models")
		b.checkAccess(key{"accounts", name, "services"}, account.Services, "services")
	}
}

// checkAccess checks the models or services that a client account may use. The list must contain
// either names of existing items or only "*".
func (b *builder) checkAccess(k key, names []string, section string) {
	if slices.Contains(names, "*") && len(names) > 1 {
		b.addKeyError(k, Contradiction, "\"*\" is combined with single names", "keep \"*\" alone or list the names")
		return
	}
	for _, name := range names {
		if _, ok := b.items[section][name]; !ok && name != "*" {
			b.addKeyError(k, BadReference, strconv.Quote(name)+" does not exist in "+section, "add it to "+section+" or use the name of an existing item")
		}
	}
}
