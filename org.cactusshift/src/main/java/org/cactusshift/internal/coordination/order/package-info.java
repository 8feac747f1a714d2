/** Orders to engines and for upstreams: recorded before they are sent, one outstanding for each target. */
package org.cactusshift.internal.coordination.order;
