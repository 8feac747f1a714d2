/** The state layer: snapshots and sharded tables; each shard has its own lock. */
package org.cactusshift.internal.state;
