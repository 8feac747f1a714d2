/** Links between processes that tests cut, hold, stall or slow down. */
package org.cactusshift.standin.link;
