package peatwick;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/** The bytes of what fronts tell of engines: a mark of two bytes, its figures in a byte each. */
final class Words {
    /** One word on one engine; the figures are as the report has them. */
    record Word(int mark, double[] figures) {}

    /** Bytes of the longest message that the interface takes. */
    static final int LONGEST = 256;

    private static final int HEAD = 2;
    private final double[] scales;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    /** Shares are told in hundredths, counts as they are. */
    Words(List<Front.ReportField> fields) {
        scales = fields.stream()
                .mapToDouble(f -> switch (f) {
                    case UTILISATION, MEMORY, DISKS -> 100;
                    default -> 1;
                })
                .toArray();
    }

    int size() {
        return HEAD + scales.length;
    }

    int waiting() {
        return bytes.size();
    }

    void add(Word word) {
        bytes.write(word.mark() >> 8);
        bytes.write(word.mark());
        for (int i = 0; i < scales.length; i++) {
            double figure = i < word.figures().length ? word.figures()[i] * scales[i] : 0;
            bytes.write((int) Math.max(0, Math.min(255, Math.round(figure))));
        }
    }

    byte[] take() {
        byte[] all = bytes.toByteArray();
        bytes.reset();
        return all;
    }

    /** What is left over at the end is no word. */
    List<Word> read(byte[] octets) {
        List<Word> words = new ArrayList<>();
        for (int at = 0; at + size() <= octets.length; at += size()) {
            double[] figures = new double[scales.length];
            for (int i = 0; i < figures.length; i++) {
                figures[i] = (octets[at + HEAD + i] & 0xff) / scales[i];
            }
            int mark = (octets[at] & 0xff) << 8 | octets[at + 1] & 0xff;
            words.add(new Word(mark, figures));
        }
        return words;
    }
}
