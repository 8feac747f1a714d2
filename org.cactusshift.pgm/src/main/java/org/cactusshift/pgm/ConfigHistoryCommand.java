package org.cactusshift.pgm;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.internal.coordination.configsync.ConfigHead;

/** Lists the retained accepted versions of the configuration. */
public final class ConfigHistoryCommand implements Command {
    @Override
    public String name() {
        return "config history";
    }

    @Override
    public String summary() {
        return "lists the retained accepted versions, newest first";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommonOptions.site())
                .addOption(CommonOptions.store())
                .addOption(CommonOptions.json());
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CactusshiftException {
        try (StoreSession session = StoreSession.open(line)) {
            List<ConfigHead> history =
                    StoreSession.getOrThrow(session.repository().readHistory());
            if (line.hasOption("json")) {
                console.printJson(history);
                return ExitStatus.SUCCESS;
            }
            List<List<String>> rows = new ArrayList<>();
            rows.add(List.of("version", "accepted", "author", "comment"));
            history.forEach(head -> rows.add(List.of(
                    Long.toString(head.version()),
                    Instant.ofEpochMilli(head.acceptedEpochMillis()).toString(),
                    head.author(),
                    head.comment())));
            console.printTable(rows);
            return ExitStatus.SUCCESS;
        }
    }
}
