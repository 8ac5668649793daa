package operator

import (
	"encoding/json"
	"time"

	"hornbeamstep.example/timeline"
)

// The JSON forms of the operator API. A type that is converted from or to an exported type has the
// same fields, so that the compiler checks the conversion. wireRelease, wireFailure and wireError
// are used directly.
type (
	wireStatus struct {
		Daemon   string   `json:"daemon"`
		Zone     string   `json:"zone"`
		Region   string   `json:"region"`
		Revision int64    `json:"revision"`
		Ready    bool     `json:"ready"`
		Draining bool     `json:"draining"`
		Reason   string   `json:"reason,omitempty"`
		Members  []Member `json:"members"`
		Owners   []Owner  `json:"owners"`
	}
	wireMember struct {
		ID          string `json:"id"`
		Address     string `json:"address"`
		Zone        string `json:"zone"`
		State       string `json:"state"`
		Incarnation uint64 `json:"incarnation"`
		Revision    int64  `json:"revision"`
	}
	wireOwner struct {
		Kind   string `json:"kind"`
		Name   string `json:"name"`
		Router string `json:"router"`
	}
	wireBackend struct {
		Name     string    `json:"name"`
		Pool     string    `json:"pool,omitempty"`
		Service  string    `json:"service,omitempty"`
		Zone     string    `json:"zone"`
		Address  string    `json:"address"`
		State    string    `json:"state"`
		Owner    string    `json:"owner"`
		Load     float64   `json:"load"`
		Mean     float64   `json:"mean"`
		Bound    float64   `json:"bound"`
		Running  int       `json:"running"`
		Queued   int       `json:"queued"`
		Reported time.Time `json:"reported,omitzero"`
	}
	wireTarget struct {
		Backend string `json:"backend,omitempty"`
		Self    bool   `json:"self,omitempty"`
		Reason  string `json:"reason,omitempty"`
	}
	wireDrained struct {
		Target   string `json:"target"`
		State    string `json:"state"`
		Running  int    `json:"running"`
		Revision int64  `json:"revision,omitempty"`
	}
	wireWhere struct {
		Chat   string `json:"chat"`
		Model  string `json:"model"`
		Engine string `json:"engine"`
		Home   string `json:"home"`
		Second string `json:"second"`
		Reason string `json:"reason"`
		Owner  string `json:"owner"`
	}
	wireTop struct {
		Accounts []AccountUse `json:"accounts"`
		Engines  []EngineUse  `json:"engines"`
	}
	wireAccountUse struct {
		Name     string  `json:"name"`
		Requests float64 `json:"requests"`
		Tokens   float64 `json:"tokens"`
		Running  int     `json:"running"`
		Waiting  int     `json:"waiting"`
	}
	wireEngineUse struct {
		Name  string  `json:"name"`
		Pool  string  `json:"pool"`
		Load  float64 `json:"load"`
		Ratio float64 `json:"ratio"`
	}
	wireOrder struct {
		Engine  string    `json:"engine"`
		Kind    string    `json:"kind"`
		Want    string    `json:"want"`
		State   string    `json:"state"`
		Holder  string    `json:"holder"`
		Fence   int64     `json:"fence"`
		Expires time.Time `json:"expires,omitzero"`
		Text    string    `json:"text,omitempty"`
	}
	wireQuarantined struct {
		Fingerprint string    `json:"fingerprint"`
		Account     string    `json:"account,omitempty"`
		Engines     []string  `json:"engines"`
		Since       time.Time `json:"since"`
		Until       time.Time `json:"until"`
	}
	wireTimeline struct {
		Events  []timeline.Event `json:"events"`
		Missing []string         `json:"missing,omitempty"`
	}
	wireInForce struct {
		Revision int64            `json:"revision"`
		Complete bool             `json:"complete"`
		Routers  []RouterRevision `json:"routers"`
	}
	wireRouterRevision struct {
		Router   string `json:"router"`
		Zone     string `json:"zone"`
		Revision int64  `json:"revision"`
		Answered bool   `json:"answered"`
	}
	wireCheck struct {
		Name   string `json:"name"`
		Level  Level  `json:"level"`
		Text   string `json:"text"`
		Remedy string `json:"remedy,omitempty"`
	}
	wireRelease struct {
		Fingerprint string `json:"fingerprint"`
	}
	wireFailure struct {
		Error wireError `json:"error"`
	}
	wireError struct {
		Code    Code   `json:"code"`
		Message string `json:"message"`
		Remedy  string `json:"remedy,omitempty"`
	}
)

// MarshalJSON implements json.Marshaler.
func (v Status) MarshalJSON() ([]byte, error) { return json.Marshal(wireStatus(v)) }

// UnmarshalJSON implements json.Unmarshaler.
func (v *Status) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, (*wireStatus)(v)) }

// MarshalJSON implements json.Marshaler.
func (v Member) MarshalJSON() ([]byte, error) { return json.Marshal(wireMember(v)) }

// UnmarshalJSON implements json.Unmarshaler.
func (v *Member) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, (*wireMember)(v)) }

// MarshalJSON implements json.Marshaler.
func (v Owner) MarshalJSON() ([]byte, error) { return json.Marshal(wireOwner(v)) }

// UnmarshalJSON implements json.Unmarshaler.
func (v *Owner) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, (*wireOwner)(v)) }

// MarshalJSON implements json.Marshaler.
func (v Backend) MarshalJSON() ([]byte, error) { return json.Marshal(wireBackend(v)) }

// UnmarshalJSON implements json.Unmarshaler.
func (v *Backend) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, (*wireBackend)(v)) }

// MarshalJSON implements json.Marshaler.
func (v Target) MarshalJSON() ([]byte, error) { return json.Marshal(wireTarget(v)) }

// UnmarshalJSON implements json.Unmarshaler.
func (v *Target) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, (*wireTarget)(v)) }

// MarshalJSON implements json.Marshaler.
func (v Drained) MarshalJSON() ([]byte, error) { return json.Marshal(wireDrained(v)) }

// UnmarshalJSON implements json.Unmarshaler.
func (v *Drained) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, (*wireDrained)(v)) }

// MarshalJSON implements json.Marshaler.
func (v Where) MarshalJSON() ([]byte, error) { return json.Marshal(wireWhere(v)) }

// UnmarshalJSON implements json.Unmarshaler.
func (v *Where) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, (*wireWhere)(v)) }

// MarshalJSON implements json.Marshaler.
func (v Top) MarshalJSON() ([]byte, error) { return json.Marshal(wireTop(v)) }

// UnmarshalJSON implements json.Unmarshaler.
func (v *Top) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, (*wireTop)(v)) }

// MarshalJSON implements json.Marshaler.
func (v AccountUse) MarshalJSON() ([]byte, error) { return json.Marshal(wireAccountUse(v)) }

// UnmarshalJSON implements json.Unmarshaler.
func (v *AccountUse) UnmarshalJSON(data []byte) error {
	return json.Unmarshal(data, (*wireAccountUse)(v))
}

// MarshalJSON implements json.Marshaler.
func (v EngineUse) MarshalJSON() ([]byte, error) { return json.Marshal(wireEngineUse(v)) }

// UnmarshalJSON implements json.Unmarshaler.
func (v *EngineUse) UnmarshalJSON(data []byte) error {
	return json.Unmarshal(data, (*wireEngineUse)(v))
}

// MarshalJSON implements json.Marshaler.
func (v Order) MarshalJSON() ([]byte, error) { return json.Marshal(wireOrder(v)) }

// UnmarshalJSON implements json.Unmarshaler.
func (v *Order) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, (*wireOrder)(v)) }

// MarshalJSON implements json.Marshaler.
func (v Quarantined) MarshalJSON() ([]byte, error) { return json.Marshal(wireQuarantined(v)) }

// UnmarshalJSON implements json.Unmarshaler.
func (v *Quarantined) UnmarshalJSON(data []byte) error {
	return json.Unmarshal(data, (*wireQuarantined)(v))
}

// MarshalJSON implements json.Marshaler.
func (v Timeline) MarshalJSON() ([]byte, error) { return json.Marshal(wireTimeline(v)) }

// UnmarshalJSON implements json.Unmarshaler.
func (v *Timeline) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, (*wireTimeline)(v)) }

// MarshalJSON implements json.Marshaler.
func (v InForce) MarshalJSON() ([]byte, error) { return json.Marshal(wireInForce(v)) }

// UnmarshalJSON implements json.Unmarshaler.
func (v *InForce) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, (*wireInForce)(v)) }

// MarshalJSON implements json.Marshaler.
func (v RouterRevision) MarshalJSON() ([]byte, error) { return json.Marshal(wireRouterRevision(v)) }

// UnmarshalJSON implements json.Unmarshaler.
func (v *RouterRevision) UnmarshalJSON(data []byte) error {
	return json.Unmarshal(data, (*wireRouterRevision)(v))
}

// MarshalJSON implements json.Marshaler.
func (v Check) MarshalJSON() ([]byte, error) { return json.Marshal(wireCheck(v)) }

// UnmarshalJSON implements json.Unmarshaler.
func (v *Check) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, (*wireCheck)(v)) }
