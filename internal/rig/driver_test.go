package rig

import (
	"context"
	"database/sql"
	"fmt"
	"testing"
	"time"

	mssql "github.com/microsoft/go-mssqldb"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pitchfield/internal/standin"
)

const testTimeout = 20 * time.Second // generous, since tests assert only that an answer comes, not when

func startEnvironment(t *testing.T, o Options) *Environment {
	t.Helper()
	env, err := Start(o)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, env.Stop()) })
	return env
}

func openDriver(t *testing.T, env *Environment, parameters string) *sql.DB {
	db, err := sql.Open("sqlserver", fmt.Sprintf("sqlserver://%s:%s@%s?database=%s&encrypt=disable&dial+timeout=5%s", User,
		Password, env.TDSAddress, Database, parameters))
	require.NoError(t, err)
	t.Cleanup(func() { db.Close() })
	return db
}

func TestDriverQueriesParametersPreparedStatementsAndPing(t *testing.T) {
	env := startEnvironment(t, Options{RESPEngines: 1, TDSEngines: 1})
	db := openDriver(t, env, "&app+name=rig")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	require.NoError(t, db.PingContext(ctx))
	var version string
	require.NoError(t, db.QueryRowContext(ctx, "SELECT @@VERSION").Scan(&version))
	assert.Contains(t, version, "pitchfield")
	for i := range 6 { // enough to reach engines of both protocols
		var engine, group, line string
		require.NoError(t, db.QueryRowContext(ctx, fmt.Sprintf("SELECT %d FROM sales_1.orders", i)).Scan(&engine, &group, &line))
		assert.Equal(t, "report", group)
		assert.Equal(t, "row 0", line)
	}
	var engine, group, line string
	require.NoError(t, db.QueryRowContext(ctx, "/* pitchfield group=lookup */ SELECT a FROM sales_1.orders WHERE id=@p1 AND name=@p2 AND at<@p3",
		42, "O'Hara @p1", time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)).Scan(&engine, &group, &line))
	assert.Equal(t, "lookup", group)
	runs := env.Fleet.Runs()
	assert.Contains(t, runs[len(runs)-1].Text, "id=42 AND name=N'O''Hara @p1' AND at<'2026-12-01 00:00:00")
	prepared, err := db.PrepareContext(ctx, "SELECT a FROM sales_1.orders WHERE id=@p1")
	require.NoError(t, err)
	for i := range 3 {
		require.NoError(t, prepared.QueryRowContext(ctx, i).Scan(&engine, &group, &line))
	}
	require.NoError(t, prepared.Close())
}

func TestDriverCancellationAndRejection(t *testing.T) {
	fleet := &standin.Fleet{Script: func(r standin.Run, _ int) standin.Step {
		if r.Group == "once" {
			return standin.Step{Action: standin.Reject}
		}
		return standin.Step{After: 400 * time.Millisecond}
	}}
	env := startEnvironment(t, Options{TDSEngines: 1, Fleet: fleet})
	db := openDriver(t, env, "")
	db.SetMaxOpenConns(1)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	var engine, group, line string
	require.Error(t, db.QueryRowContext(ctx, "SELECT 1 FROM sales_1.orders").Scan(&engine, &group, &line))
	ctx, cancel = context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	require.NoError(t, db.QueryRowContext(ctx, "SELECT 2 FROM sales_1.orders").Scan(&engine, &group, &line), "the session must continue after a cancellation")
	err := db.QueryRowContext(ctx, "/* pitchfield group=once limit=1s */ INSERT INTO sales_1.orders SELECT 1").Scan(&engine)
	var sqlError mssql.Error
	require.ErrorAs(t, err, &sqlError)
	assert.Equal(t, int32(40501), sqlError.Number, "drivers treat this error as transient")
	assert.Contains(t, sqlError.Message, "harmless")
	_, err = db.ExecContext(ctx, "BEGIN TRANSACTION")
	require.ErrorAs(t, err, &sqlError)
	assert.Contains(t, sqlError.Message, "transactions")
}

func TestEncryptedConnectionIsRefusedWithClearError(t *testing.T) {
	env := startEnvironment(t, Options{TDSEngines: 1})
	db, err := sql.Open("sqlserver", fmt.Sprintf("sqlserver://%s:x@%s?encrypt=true&trustservercertificate=true&dial+timeout=5", User, env.TDSAddress))
	require.NoError(t, err)
	defer db.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	assert.ErrorContains(t, db.PingContext(ctx), "encrypt")
}

func TestWrongPasswordIsRefused(t *testing.T) {
	env := startEnvironment(t, Options{TDSEngines: 1})
	db, err := sql.Open("sqlserver", fmt.Sprintf("sqlserver://%s:wrong@%s?encrypt=disable&dial+timeout=5", User, env.TDSAddress))
	require.NoError(t, err)
	defer db.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var sqlError mssql.Error
	require.ErrorAs(t, db.PingContext(ctx), &sqlError)
	assert.Equal(t, int32(18456), sqlError.Number)
}

func TestDriverReadsTypedRowsAndNulls(t *testing.T) {
	env := startEnvironment(t, Options{TDSEngines: 1})
	db := openDriver(t, env, "")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	all, err := db.QueryContext(ctx, "SELECT typed FROM sales_1.orders")
	require.NoError(t, err)
	defer all.Close()
	require.True(t, all.Next())
	var (
		whole           int64
		yes             bool
		price, paid, id []byte
		half            float64
		at              time.Time
		name            string
		raw             []byte
	)
	require.NoError(t, all.Scan(&whole, &yes, &price, &paid, &half, &at, &name, &raw, &id))
	assert.Equal(t, []any{int64(42), true, "123.45", "1.0000", 0.5, "Žofie 🌱"}, []any{whole, yes, string(price), string(paid), half, name})
	assert.Equal(t, "1970-01-01", at.Format("2006-01-02"))
	assert.Equal(t, []byte{0, 255}, raw)
	assert.Len(t, id, 16)
	require.True(t, all.Next())
	values := make([]any, 9)
	into := make([]any, 9)
	for i := range values {
		into[i] = &values[i]
	}
	require.NoError(t, all.Scan(into...))
	for _, v := range values {
		assert.Nil(t, v)
	}
	assert.False(t, all.Next())
	require.NoError(t, all.Err())
}
