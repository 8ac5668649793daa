package caller

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"hornbeamstep.example/policy"
	"hornbeamstep.example/routing/outcome"
)

// authenticate returns the client account of the request's key.
func authenticate(r *http.Request, p policy.Policy) (policy.Account, error) {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return policy.Account{}, refuse(outcome.BadKey, http.StatusUnauthorized,
			"the request has no key", "send the key as Authorization: Bearer KEY")
	}
	// A router that has just started knows no key. Refusing a right key for good would be wrong.
	if p.Revision == 0 && len(p.Accounts) == 0 {
		e := refuse(outcome.Isolated, http.StatusServiceUnavailable,
			"the router has no configuration yet", "send the request again, or to another router")
		e.RetryAfter = time.Second
		return policy.Account{}, e
	}
	account, ok := p.AccountByKey(key)
	if !ok {
		return policy.Account{}, refuse(outcome.BadKey, http.StatusUnauthorized,
			"the key is not known", "check the key with the operator")
	}
	return account, nil
}

// findModel returns a model that the account may reach. Models it may not reach look the same as unknown ones.
func findModel(p policy.Policy, account policy.Account, name, adapter string) (policy.Model, error) {
	model, ok := p.Models[name]
	if !ok || !allowed(account.Models, name) {
		return policy.Model{}, refuse(outcome.UnknownModel, http.StatusNotFound,
			"the model "+clip(name)+" does not exist or is not open to the account", "choose a model from GET /v1/models")
	}
	if adapter != "" && !slices.Contains(model.Adapters, adapter) {
		return policy.Model{}, refuse(outcome.UnknownModel, http.StatusNotFound,
			"the model "+clip(name)+" has no adapter "+clip(adapter), "choose a model from GET /v1/models")
	}
	return model, nil
}

// findService returns a service that the account may reach.
func findService(p policy.Policy, account policy.Account, name string) (policy.Service, error) {
	service, ok := p.Services[name]
	if !ok || !allowed(account.Services, name) {
		return policy.Service{}, refuse(outcome.UnknownService, http.StatusNotFound,
			"the service "+clip(name)+" does not exist or is not open to the account", "check the name of the service")
	}
	return service, nil
}

func allowed(list []string, name string) bool {
	return slices.Contains(list, name) || slices.Contains(list, "*")
}

// clip bounds a caller's text in messages.
func clip(text string) string {
	const limit = 80
	if len(text) > limit {
		return text[:limit]
	}
	return text
}
