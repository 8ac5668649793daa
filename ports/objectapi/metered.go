package objectapi

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metered wraps a Store and records metrics of its calls.
type Metered struct {
	store Store
	calls *prometheus.CounterVec
	time  *prometheus.HistogramVec
	bytes *prometheus.CounterVec
}

// NewMetered wraps store and also returns the collectors to register.
func NewMetered(store Store) (*Metered, []prometheus.Collector) {
	m := &Metered{
		store: store,
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hornbeam_objectapi_calls_total",
			Help: "Calls to the object API by kind of call, kind of object and result.",
		}, []string{"op", "kind", "result"}),
		time: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "hornbeam_objectapi_call_seconds",
			Help:    "Duration of calls to the object API in seconds, without watches.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}, []string{"op"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hornbeam_objectapi_value_bytes_total",
			Help: "Bytes of the values that calls to the object API carried, by kind of call and kind of object.",
		}, []string{"op", "kind"}),
	}
	return m, []prometheus.Collector{m.calls, m.time, m.bytes}
}

// Get implements Store.
func (m *Metered) Get(ctx context.Context, kind, name string) (Object, error) {
	defer m.timed(OpGet)()
	o, err := m.store.Get(ctx, kind, name)
	m.count(OpGet, kind, len(o.Value), err)
	return o, err
}

// Put implements Store.
func (m *Metered) Put(ctx context.Context, o Object) (int64, error) {
	defer m.timed(OpPut)()
	version, err := m.store.Put(ctx, o)
	m.count(OpPut, o.Kind, len(o.Value), err)
	return version, err
}

// Delete implements Store.
func (m *Metered) Delete(ctx context.Context, kind, name string, version int64) error {
	defer m.timed(OpDelete)()
	err := m.store.Delete(ctx, kind, name, version)
	m.count(OpDelete, kind, 0, err)
	return err
}

// List implements Store.
func (m *Metered) List(ctx context.Context, kind string) ([]Object, error) {
	defer m.timed(OpList)()
	list, err := m.store.List(ctx, kind)
	m.count(OpList, kind, 0, err)
	return list, err
}

// Watch implements Store.
func (m *Metered) Watch(ctx context.Context, kind string, after int64) ([]Object, int64, error) {
	list, next, err := m.store.Watch(ctx, kind, after)
	size := 0
	for _, o := range list {
		size += len(o.Value)
	}
	m.count(OpWatch, kind, size, err)
	return list, next, err
}

// timed starts a timer and returns a function that records the elapsed time.
func (m *Metered) timed(op Op) func() {
	start := time.Now()
	return func() { m.time.WithLabelValues(string(op)).Observe(time.Since(start).Seconds()) }
}

func (m *Metered) count(op Op, kind string, size int, err error) {
	m.calls.WithLabelValues(string(op), kind, result(err)).Inc()
	m.bytes.WithLabelValues(string(op), kind).Add(float64(size))
}

// result returns the value of the result label for an error.
func result(err error) string {
	var (
		missing     *NotFoundError
		conflict    *ConflictError
		large       *TooLargeError
		unavailable *UnavailableError
		ambiguous   *AmbiguousError
	)
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &missing):
		return "missing"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &large):
		return "large"
	case errors.As(err, &ambiguous):
		return "ambiguous"
	case errors.As(err, &unavailable):
		return "unavailable"
	}
	return "error"
}
